package org.wagtailcart.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;

/** Simulated engine: continuous batching with the costs of {@link CostModel}, request priorities and a prefix cache. */
final class FakeEngine {
    private static final Comparator<SimAttempt> BY_PRIORITY = Comparator.comparingInt(
                    (SimAttempt attempt) -> -attempt.request.kind.priority.rank())
            .thenComparingDouble(attempt -> attempt.sentMillis);

    final String id;
    final String domain;
    EngineRole role;

    private final EventLoop loop;
    private final PowerFeed feed;
    private final double noise;
    private final SplittableRandom random;
    private final PriorityQueue<SimAttempt> waiting =
            new PriorityQueue<>(Comparator.comparingInt((SimAttempt attempt) -> -attempt.request.kind.priority.rank())
                    .thenComparingDouble(attempt -> attempt.sentMillis));
    private final List<SimAttempt> batch = new ArrayList<>();
    private final List<SimAttempt> prompts = new ArrayList<>();
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final EngineMeter meter = new EngineMeter();
    private int kvUsed;
    private boolean alive = true;
    private boolean draining;
    private boolean changing;
    private boolean stepping;
    private double grantUntilMillis;
    private int generation;
    private Runnable whenIdle = () -> {};

    FakeEngine(
            String id,
            String domain,
            EngineRole role,
            EventLoop loop,
            PowerFeed feed,
            double noise,
            SplittableRandom random) {
        this.id = id;
        this.domain = domain;
        this.role = role;
        this.loop = loop;
        this.feed = feed;
        this.noise = noise;
        this.random = random;
    }

    boolean accepting() {
        return alive && !draining && !changing;
    }

    boolean alive() {
        return alive;
    }

    boolean leavingService() {
        return draining || changing;
    }

    boolean granted() {
        return loop.now() < grantUntilMillis;
    }

    void grantUntil(double untilMillis) {
        grantUntilMillis = untilMillis;
    }

    /** Returns the number of requests in decode, in prefill and in the queue. */
    int load() {
        return batch.size() + prompts.size() + waiting.size();
    }

    /** Returns the prompt tokens left to prefill. */
    double promptBacklog() {
        return waiting.stream().mapToInt(FakeEngine::promptLeft).sum()
                + prompts.stream().mapToInt(FakeEngine::promptLeft).sum();
    }

    private static int promptLeft(SimAttempt attempt) {
        return attempt.promptLeft >= 0 ? attempt.promptLeft : attempt.promptTokens();
    }

    /** Returns the tokens of the longest cached prefix of a prompt with the given block hashes. */
    double cachedTokens(List<Long> hashes) {
        return CostModel.BLOCK_TOKENS
                * (double) hashes.stream().takeWhile(prefixes::containsKey).count();
    }

    /**
     * Queues an attempt, unless the engine is down or changes its role. A draining engine accepts only attempts whose
     * prefill is done elsewhere.
     *
     * @return whether the attempt was accepted; a refused one has not run
     */
    boolean submit(SimAttempt attempt) {
        if (!alive || changing || (draining && attempt.promptLeft != 0)) {
            return false;
        }
        waiting.add(attempt);
        wake();
        return true;
    }

    /** Drops all attempts and cached state; entries see the failures after {@link CostModel#FAILURE_NOTICE_MILLIS}. */
    void crash() {
        alive = false;
        generation++;
        List<SimAttempt> lost = new ArrayList<>(batch);
        lost.addAll(prompts);
        lost.addAll(waiting);
        batch.clear();
        prompts.clear();
        waiting.clear();
        prefixes.clear();
        kvUsed = 0;
        stepping = false;
        feed.update(this, false);
        lost.forEach(
                attempt -> loop.after(CostModel.FAILURE_NOTICE_MILLIS, () -> attempt.entry.onFailed(attempt, true)));
        finishDraining();
    }

    void restart() {
        alive = true;
    }

    /** Drains, changes the role and returns to service; then runs the action. */
    void changeRole(EngineRole next, Runnable done) {
        draining = true;
        whenIdle = () -> {
            draining = false;
            changing = true;
            prefixes.clear();
            role = next;
            loop.after(CostModel.ROLE_CHANGE_MILLIS, () -> {
                changing = false;
                done.run();
            });
        };
        finishDraining();
    }

    private void finishDraining() {
        if (draining && load() == 0) {
            Runnable action = whenIdle;
            whenIdle = () -> {};
            action.run();
        }
    }

    private void wake() {
        if (!stepping && alive && !changing) {
            step();
        }
    }

    private void step() {
        boolean hardAllowed = granted();
        int limit = CostModel.batchLimit(role, hardAllowed);
        admit(limit);
        if (batch.isEmpty() && prompts.isEmpty()) {
            feed.update(this, false);
            stepping = false;
            finishDraining();
            return;
        }
        stepping = true;
        boolean hard = hardAllowed && (role == EngineRole.PREFILL || load() > CostModel.batchLimit(role, false));
        feed.update(this, hard);
        int chunk = takeChunk(hardAllowed);
        double millis = stepMillis(chunk, hardAllowed);
        meter.addStep(millis, batch.size(), chunk, hard);
        int expected = generation;
        loop.after(millis, () -> {
            if (generation == expected) {
                endStep(chunk);
            }
        });
    }

    private void admit(int limit) {
        while (!waiting.isEmpty()) {
            SimAttempt next = waiting.element();
            boolean full = batch.size() + prompts.size() >= limit || kvUsed + next.kvTokens() > CostModel.KV_TOKENS;
            if (full) {
                return;
            }
            waiting.remove();
            start(next);
        }
    }

    private void start(SimAttempt attempt) {
        kvUsed += attempt.kvTokens();
        if (attempt.promptLeft == 0) {
            batch.add(attempt);
            return;
        }
        int cached = (int) cachedTokens(attempt.request.prefixHashes);
        attempt.promptLeft = Math.max(1, attempt.promptTokens() - cached);
        meter.addPrompt(attempt.promptTokens(), attempt.promptLeft);
        prompts.add(attempt);
        prompts.sort(BY_PRIORITY);
    }

    /** Prefills one chunk of the prompts in order of priority; returns the tokens processed. */
    private int takeChunk(boolean hardAllowed) {
        int budget = CostModel.chunkTokens(role, !batch.isEmpty());
        int share = hardAllowed || role != EngineRole.PREFILL ? budget : budget / 2;
        int remaining = share;
        for (SimAttempt attempt : prompts) {
            int processed = Math.min(remaining, attempt.promptLeft);
            attempt.promptLeft -= processed;
            remaining -= processed;
        }
        return share - remaining;
    }

    private double stepMillis(int chunk, boolean hardAllowed) {
        double decode =
                batch.isEmpty() ? 0 : CostModel.STEP_BASE_MILLIS + CostModel.STEP_PER_STREAM_MILLIS * batch.size();
        double rate = CostModel.PREFILL_TOKENS_PER_MILLI * (role == EngineRole.PREFILL && !hardAllowed ? 0.5 : 1);
        double jitter = 1 + noise * 0.3 * (2 * random.nextDouble() - 1);
        return Math.max(1, decode + chunk / rate) * jitter / feed.speed();
    }

    private void endStep(int chunk) {
        List<SimAttempt> decoding = List.copyOf(batch);
        decoding.forEach(this::emit);
        if (chunk > 0) {
            List<SimAttempt> done =
                    prompts.stream().filter(attempt -> attempt.promptLeft == 0).toList();
            prompts.removeAll(done);
            done.forEach(this::endPrompt);
        }
        step();
    }

    private void emit(SimAttempt attempt) {
        if (attempt.entry.onToken(attempt)) {
            batch.remove(attempt);
            kvUsed -= attempt.kvTokens();
        }
    }

    private void endPrompt(SimAttempt attempt) {
        remember(attempt.request.prefixHashes);
        attempt.handoff(this).ifPresentOrElse(output -> handOver(attempt, output), () -> {
            batch.add(attempt);
            emit(attempt);
        });
    }

    private void handOver(SimAttempt attempt, FakeEngine output) {
        kvUsed -= attempt.kvTokens();
        double transfer = attempt.promptTokens() / CostModel.KV_TRANSFER_TOKENS_PER_MILLI
                + attempt.entry.latencyMillis(domain, output.domain);
        loop.after(transfer, () -> {
            if (!attempt.ended && !output.submit(attempt)) {
                attempt.entry.onFailed(attempt, false);
            }
        });
    }

    private void remember(List<Long> hashes) {
        hashes.forEach(hash -> prefixes.put(hash, true));
        int limit = CostModel.PREFIX_CACHE_TOKENS / CostModel.BLOCK_TOKENS;
        var oldest = prefixes.keySet().iterator();
        while (prefixes.size() > limit) {
            oldest.next();
            oldest.remove();
        }
    }

    EngineMeter.PromptCount takePromptCount() {
        return meter.takePromptCount();
    }

    /** Returns the load since the last report, with the noise of the scenario. */
    EngineObservation report() {
        double error = 1 + noise * 0.5 * (2 * random.nextDouble() - 1);
        return meter.report(this, batch.size() + prompts.size(), waiting.size(), error, loop.nowMillis());
    }
}
