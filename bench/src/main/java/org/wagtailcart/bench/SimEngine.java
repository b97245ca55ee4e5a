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
final class SimEngine {
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
    private final PriorityQueue<SimAttempt> queued =
            new PriorityQueue<>(Comparator.comparingInt((SimAttempt attempt) -> -attempt.request.kind.priority.rank())
                    .thenComparingDouble(attempt -> attempt.sentMillis));
    private final List<SimAttempt> decodeBatch = new ArrayList<>();
    private final List<SimAttempt> prefilling = new ArrayList<>();
    private final Map<Long, Boolean> cachedBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final EngineMeter meter = new EngineMeter();
    private int kvUsed;
    private boolean alive = true;
    private boolean draining;
    private boolean changingRole;
    private boolean stepping;
    private double grantUntilMillis;
    private int crashCount;
    private Runnable onDrained = () -> {};

    SimEngine(
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
        return alive && !draining && !changingRole;
    }

    boolean alive() {
        return alive;
    }

    boolean leavingService() {
        return draining || changingRole;
    }

    boolean granted() {
        return loop.now() < grantUntilMillis;
    }

    void grantUntil(double untilMillis) {
        grantUntilMillis = untilMillis;
    }

    /** Returns the number of requests in decode, in prefill and in the queue. */
    int requestCount() {
        return decodeBatch.size() + prefilling.size() + queued.size();
    }

    /** Returns the prompt tokens left to prefill. */
    double promptBacklog() {
        return queued.stream().mapToInt(SimEngine::remainingPromptTokens).sum()
                + prefilling.stream().mapToInt(SimEngine::remainingPromptTokens).sum();
    }

    private static int remainingPromptTokens(SimAttempt attempt) {
        return attempt.remainingPromptTokens >= 0 ? attempt.remainingPromptTokens : attempt.promptTokens();
    }

    /** Returns the tokens of the longest cached prefix of a prompt with the given block hashes. */
    double cachedTokens(List<Long> hashes) {
        return CostModel.BLOCK_TOKENS
                * (double) hashes.stream().takeWhile(cachedBlocks::containsKey).count();
    }

    /**
     * Queues an attempt, unless the engine is down or changes its role. A draining engine accepts only attempts whose
     * prefill is done elsewhere.
     *
     * @return whether the attempt was accepted; a refused one has not run
     */
    boolean submit(SimAttempt attempt) {
        if (!alive || changingRole || (draining && attempt.remainingPromptTokens != 0)) {
            return false;
        }
        queued.add(attempt);
        startStepping();
        return true;
    }

    /** Drops all attempts and cached state; entries see the failures after {@link CostModel#FAILURE_DETECTION_MILLIS}. */
    void crash() {
        alive = false;
        crashCount++;
        List<SimAttempt> lost = new ArrayList<>(decodeBatch);
        lost.addAll(prefilling);
        lost.addAll(queued);
        decodeBatch.clear();
        prefilling.clear();
        queued.clear();
        cachedBlocks.clear();
        kvUsed = 0;
        stepping = false;
        feed.update(this, false);
        lost.forEach(
                attempt -> loop.after(CostModel.FAILURE_DETECTION_MILLIS, () -> attempt.entry.onFailed(attempt, true)));
        finishDraining();
    }

    void restart() {
        alive = true;
    }

    /** Drains, changes the role and returns to service; then runs the action. */
    void changeRole(EngineRole next, Runnable done) {
        draining = true;
        onDrained = () -> {
            draining = false;
            changingRole = true;
            cachedBlocks.clear();
            role = next;
            loop.after(CostModel.ROLE_CHANGE_MILLIS, () -> {
                changingRole = false;
                done.run();
            });
        };
        finishDraining();
    }

    private void finishDraining() {
        if (draining && requestCount() == 0) {
            Runnable action = onDrained;
            onDrained = () -> {};
            action.run();
        }
    }

    private void startStepping() {
        if (!stepping && alive && !changingRole) {
            step();
        }
    }

    private void step() {
        boolean hardAllowed = granted();
        int limit = CostModel.batchLimit(role, hardAllowed);
        admit(limit);
        if (decodeBatch.isEmpty() && prefilling.isEmpty()) {
            feed.update(this, false);
            stepping = false;
            finishDraining();
            return;
        }
        stepping = true;
        boolean hard =
                hardAllowed && (role == EngineRole.PREFILL || requestCount() > CostModel.batchLimit(role, false));
        feed.update(this, hard);
        int chunk = prefillChunk(hardAllowed);
        double millis = stepMillis(chunk, hardAllowed);
        meter.addStep(millis, decodeBatch.size(), chunk, hard);
        int expected = crashCount;
        loop.after(millis, () -> {
            if (crashCount == expected) {
                endStep(chunk);
            }
        });
    }

    private void admit(int limit) {
        while (!queued.isEmpty()) {
            SimAttempt next = queued.element();
            boolean full =
                    decodeBatch.size() + prefilling.size() >= limit || kvUsed + next.kvTokens() > CostModel.KV_TOKENS;
            if (full) {
                return;
            }
            queued.remove();
            start(next);
        }
    }

    private void start(SimAttempt attempt) {
        kvUsed += attempt.kvTokens();
        if (attempt.remainingPromptTokens == 0) {
            decodeBatch.add(attempt);
            return;
        }
        int cached = (int) cachedTokens(attempt.request.prefixHashes);
        attempt.remainingPromptTokens = Math.max(1, attempt.promptTokens() - cached);
        meter.addPrompt(attempt.promptTokens(), attempt.remainingPromptTokens);
        prefilling.add(attempt);
        prefilling.sort(BY_PRIORITY);
    }

    /** Prefills one chunk of the prompts in order of priority; returns the tokens processed. */
    private int prefillChunk(boolean hardAllowed) {
        int budget = CostModel.chunkTokens(role, !decodeBatch.isEmpty());
        int share = hardAllowed || role != EngineRole.PREFILL ? budget : budget / 2;
        int remaining = share;
        for (SimAttempt attempt : prefilling) {
            int processed = Math.min(remaining, attempt.remainingPromptTokens);
            attempt.remainingPromptTokens -= processed;
            remaining -= processed;
        }
        return share - remaining;
    }

    private double stepMillis(int chunk, boolean hardAllowed) {
        double decode = decodeBatch.isEmpty()
                ? 0
                : CostModel.STEP_BASE_MILLIS + CostModel.STEP_PER_SEQUENCE_MILLIS * decodeBatch.size();
        double rate = CostModel.PREFILL_TOKENS_PER_MILLI * (role == EngineRole.PREFILL && !hardAllowed ? 0.5 : 1);
        double jitter = 1 + noise * 0.3 * (2 * random.nextDouble() - 1);
        return Math.max(1, decode + chunk / rate) * jitter / feed.speed();
    }

    private void endStep(int chunk) {
        List<SimAttempt> decoding = List.copyOf(decodeBatch);
        decoding.forEach(this::emitToken);
        if (chunk > 0) {
            List<SimAttempt> done = prefilling.stream()
                    .filter(attempt -> attempt.remainingPromptTokens == 0)
                    .toList();
            prefilling.removeAll(done);
            done.forEach(this::endPrefill);
        }
        step();
    }

    private void emitToken(SimAttempt attempt) {
        if (attempt.entry.onToken(attempt)) {
            decodeBatch.remove(attempt);
            kvUsed -= attempt.kvTokens();
        }
    }

    private void endPrefill(SimAttempt attempt) {
        cachePrefix(attempt.request.prefixHashes);
        attempt.kvTransferTarget(this).ifPresentOrElse(output -> transferKvCache(attempt, output), () -> {
            decodeBatch.add(attempt);
            emitToken(attempt);
        });
    }

    private void transferKvCache(SimAttempt attempt, SimEngine output) {
        kvUsed -= attempt.kvTokens();
        double transfer = attempt.promptTokens() / CostModel.KV_TRANSFER_TOKENS_PER_MILLI
                + attempt.entry.latencyMillis(domain, output.domain);
        loop.after(transfer, () -> {
            if (!attempt.ended && !output.submit(attempt)) {
                attempt.entry.onFailed(attempt, false);
            }
        });
    }

    private void cachePrefix(List<Long> hashes) {
        hashes.forEach(hash -> cachedBlocks.put(hash, true));
        int limit = CostModel.PREFIX_CACHE_TOKENS / CostModel.BLOCK_TOKENS;
        var oldest = cachedBlocks.keySet().iterator();
        while (cachedBlocks.size() > limit) {
            oldest.next();
            oldest.remove();
        }
    }

    EngineMeter.PromptCount getAndResetPromptCount() {
        return meter.getAndResetPromptCount();
    }

    /** Returns the load since the last report, with the noise of the scenario. */
    EngineObservation report() {
        double error = 1 + noise * 0.5 * (2 * random.nextDouble() - 1);
        return meter.report(this, decodeBatch.size() + prefilling.size(), queued.size(), error, loop.nowMillis());
    }
}
