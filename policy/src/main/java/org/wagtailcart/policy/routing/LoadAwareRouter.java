package org.wagtailcart.policy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineRole;

/**
 * Router that takes the less loaded of two random upstreams (power of two choices), by this entry's own accounting of
 * work in flight in units of output tokens. The upstream that probably has the prompt's prefix cached is a third
 * candidate. The cost of a decision does not depend on the number of upstreams.
 */
public final class LoadAwareRouter implements Router {
    private final RouterOptions options;
    private final SplittableRandom random;
    private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
    private final Map<String, UpstreamPool> pools = new HashMap<>();
    private final Map<String, AttemptLoad> attempts = new HashMap<>();
    private final PrefixHints hints;

    /** Creates a router with default options. Each entry needs its own seed, or all would draw the same upstreams. */
    public LoadAwareRouter(long seed) {
        this(RouterOptions.defaults(), seed);
    }

    public LoadAwareRouter(RouterOptions options, long seed) {
        this.options = options;
        this.random = new SplittableRandom(seed);
        this.hints = new PrefixHints(options.maxPrefixHints());
    }

    @Override
    public void updateUpstreams(List<RoutableUpstream> current, long nowMillis) {
        Map<String, RoutableUpstream> byId = current.stream()
                .collect(
                        Collectors.toMap(RoutableUpstream::upstreamId, Function.identity(), (first, second) -> second));
        upstreams.values().forEach(load -> pool(load).remove(load));
        upstreams.keySet().retainAll(byId.keySet());
        byId.values().forEach(this::addUpstream);
        upstreams.values().forEach(load -> refresh(load, nowMillis));
    }

    private void addUpstream(RoutableUpstream upstream) {
        UpstreamLoad load = upstreams.computeIfAbsent(upstream.upstreamId(), id -> newLoad(upstream));
        load.upstream = upstream;
        pool(load).add(load);
    }

    private UpstreamLoad newLoad(RoutableUpstream upstream) {
        return new UpstreamLoad(upstream, options.healthPolicy().newTracker(options.healthOptions()));
    }

    @Override
    public Optional<RoutingDecision> choose(String attemptId, RoutingRequest request, long nowMillis) {
        if (attempts.containsKey(attemptId)) {
            throw new IllegalArgumentException("attempt " + attemptId + " is already routed");
        }
        UpstreamPool pool = pools.get(request.pool());
        if (pool == null) {
            return Optional.empty();
        }
        pool.readmitDue(nowMillis);
        UpstreamLoad prefill = best(pool.promptCandidates, request, nowMillis, 0);
        double prefillScore = prefill == null ? Double.MAX_VALUE : score(prefill, request, nowMillis, 0);
        UpstreamLoad output = best(pool.outputCandidates, request, nowMillis, prefillScore);
        if (output == null || (output.role() == EngineRole.DECODE && prefill == null)) {
            return Optional.empty();
        }
        UpstreamLoad splitPrefill = output.role() == EngineRole.DECODE ? prefill : null;
        return Optional.of(recordAttempt(attemptId, request, splitPrefill, output, nowMillis));
    }

    private RoutingDecision recordAttempt(
            String attemptId,
            RoutingRequest request,
            @Nullable UpstreamLoad prefill,
            UpstreamLoad output,
            long nowMillis) {
        UpstreamLoad promptUpstream = prefill == null ? output : prefill;
        AttemptLoad attempt =
                new AttemptLoad(prefill, output, promptWork(promptUpstream, request), request.outputTokens());
        attempts.put(attemptId, attempt);
        hints.record(request.prefixHashes(), promptUpstream.id);
        refresh(promptUpstream, nowMillis);
        refresh(output, nowMillis);
        return new RoutingDecision(Optional.ofNullable(prefill).map(load -> load.id), output.id);
    }

    /** Returns the member with the lowest score among two random ones and the one hinted for the prefix. */
    private @Nullable UpstreamLoad best(CandidateSet set, RoutingRequest request, long nowMillis, double prefillScore) {
        UpstreamLoad first = set.draw(random, request.excluded(), null);
        UpstreamLoad second = set.draw(random, request.excluded(), first);
        UpstreamLoad best = lowerScore(first, second, request, nowMillis, prefillScore);
        return lowerScore(best, hintedCandidate(set, request), request, nowMillis, prefillScore);
    }

    private @Nullable UpstreamLoad hintedCandidate(CandidateSet set, RoutingRequest request) {
        String upstreamId = hints.findUpstream(request.prefixHashes());
        UpstreamLoad load = upstreamId == null ? null : upstreams.get(upstreamId);
        boolean usable = load != null
                && load.upstream.pool().equals(request.pool())
                && set.contains(load)
                && !request.excluded().contains(load.id);
        return usable ? load : null;
    }

    private @Nullable UpstreamLoad lowerScore(
            @Nullable UpstreamLoad a,
            @Nullable UpstreamLoad b,
            RoutingRequest request,
            long nowMillis,
            double prefillScore) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return totalScore(b, request, nowMillis, prefillScore) < totalScore(a, request, nowMillis, prefillScore)
                ? b
                : a;
    }

    private double totalScore(UpstreamLoad load, RoutingRequest request, long nowMillis, double prefillScore) {
        double own = score(load, request, nowMillis, request.outputTokens());
        return load.role() == EngineRole.DECODE ? own + prefillScore : own;
    }

    private double score(UpstreamLoad load, RoutingRequest request, long nowMillis, double outputWork) {
        double prompt = load.role().supportsPrefill() ? promptWork(load, request) : 0;
        double promptScore = options.promptWorkWeight() * (load.promptWork + prompt);
        return promptScore
                + load.outputWork
                + outputWork
                + load.otherEntriesWork(nowMillis, options.reportMaxAgeMillis());
    }

    private double promptWork(UpstreamLoad load, RoutingRequest request) {
        double uncached = 1 - hints.cachedShare(request.prefixHashes(), load.id);
        return request.promptTokens() * options.promptTokenCost() * uncached;
    }

    @Override
    public void onFirstToken(String attemptId, long nowMillis) {
        AttemptLoad attempt = attempts.get(attemptId);
        if (attempt != null && attempt.finishPrompt()) {
            refresh(attempt.promptUpstream, nowMillis);
        }
    }

    @Override
    public void onTokens(String attemptId, int tokens, long nowMillis) {
        AttemptLoad attempt = attempts.get(attemptId);
        if (attempt != null) {
            attempt.recordTokens(tokens);
        }
    }

    @Override
    public void onFinished(String attemptId, AttemptOutcome outcome, long nowMillis) {
        AttemptLoad attempt = attempts.remove(attemptId);
        if (attempt != null) {
            boolean promptDone = attempt.finish();
            recordOutcome(attempt.outputUpstream, outcome, nowMillis);
            if (attempt.split() && !promptDone) {
                // Before the first token, either engine may have caused the outcome.
                recordOutcome(attempt.promptUpstream, outcome, nowMillis);
            }
            refresh(attempt.promptUpstream, nowMillis);
            refresh(attempt.outputUpstream, nowMillis);
        }
    }

    private void recordOutcome(UpstreamLoad load, AttemptOutcome outcome, long nowMillis) {
        switch (outcome) {
            case SUCCESS -> load.health.onOutcome(true, nowMillis);
            case FAILURE -> load.health.onOutcome(false, nowMillis);
            case REFUSED -> load.refusedUntilMillis = nowMillis + options.refusalDelayMillis();
            case CANCELLED -> {}
        }
    }

    @Override
    public void onLoadReport(String upstreamId, int running, int queued, long nowMillis) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.otherEntriesRequests = Math.max(0, running + queued - load.inFlight);
            load.reportedAtMillis = nowMillis;
            pool(load).onReport(load, nowMillis);
        }
    }

    private void refresh(UpstreamLoad load, long nowMillis) {
        pool(load).refresh(load, nowMillis);
    }

    private UpstreamPool pool(UpstreamLoad load) {
        return pools.computeIfAbsent(load.upstream.pool(), unused -> new UpstreamPool());
    }
}
