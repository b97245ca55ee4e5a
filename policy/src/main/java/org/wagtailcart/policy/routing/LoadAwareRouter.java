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
 * Power of two choices over this entry's own account of work in flight, in units of output tokens. The probable holder
 * of a cached prefix is a third candidate. The cost of a decision does not depend on the number of upstreams.
 */
public final class LoadAwareRouter implements Router {
    private final RouterOptions options;
    private final SplittableRandom random;
    private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
    private final Map<String, PoolUpstreams> pools = new HashMap<>();
    private final Map<String, AttemptLoad> attempts = new HashMap<>();
    private final PrefixHints hints;

    /** Creates a router with default options. Entries need different seeds, so that they do not draw alike. */
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
        byId.values().forEach(this::install);
        upstreams.values().forEach(load -> refresh(load, nowMillis));
    }

    private void install(RoutableUpstream upstream) {
        UpstreamLoad load = upstreams.computeIfAbsent(upstream.upstreamId(), id -> newLoad(upstream));
        load.upstream = upstream;
        pool(load).add(load);
    }

    private UpstreamLoad newLoad(RoutableUpstream upstream) {
        return new UpstreamLoad(upstream, options.health().tracker(options.healthOptions()));
    }

    @Override
    public Optional<Route> choose(String attemptId, RoutingRequest request, long nowMillis) {
        if (attempts.containsKey(attemptId)) {
            throw new IllegalArgumentException("attempt " + attemptId + " has a route already");
        }
        PoolUpstreams pool = pools.get(request.pool());
        if (pool == null) {
            return Optional.empty();
        }
        pool.reopen(nowMillis);
        UpstreamLoad prefill = best(pool.prompt, request, nowMillis, 0);
        double prefillScore = prefill == null ? Double.MAX_VALUE : score(prefill, request, nowMillis, 0);
        UpstreamLoad output = best(pool.output, request, nowMillis, prefillScore);
        if (output == null || (output.role() == EngineRole.DECODE && prefill == null)) {
            return Optional.empty();
        }
        UpstreamLoad splitPrefill = output.role() == EngineRole.DECODE ? prefill : null;
        return Optional.of(account(attemptId, request, splitPrefill, output, nowMillis));
    }

    private Route account(
            String attemptId,
            RoutingRequest request,
            @Nullable UpstreamLoad prefill,
            UpstreamLoad output,
            long nowMillis) {
        UpstreamLoad promptUpstream = prefill == null ? output : prefill;
        AttemptLoad attempt =
                new AttemptLoad(prefill, output, promptWork(promptUpstream, request), request.outputTokens());
        attempts.put(attemptId, attempt);
        hints.note(request.prefixHashes(), promptUpstream.id);
        refresh(promptUpstream, nowMillis);
        refresh(output, nowMillis);
        return new Route(Optional.ofNullable(prefill).map(load -> load.id), output.id);
    }

    /** Returns the lowest score of two random members and the probable holder of the prefix. */
    private @Nullable UpstreamLoad best(OpenSet set, RoutingRequest request, long nowMillis, double prefillScore) {
        UpstreamLoad first = set.draw(random, request.excluded(), null);
        UpstreamLoad second = set.draw(random, request.excluded(), first);
        UpstreamLoad best = lower(first, second, request, nowMillis, prefillScore);
        return lower(best, hintedMember(set, request), request, nowMillis, prefillScore);
    }

    private @Nullable UpstreamLoad hintedMember(OpenSet set, RoutingRequest request) {
        String holder = hints.holder(request.prefixHashes());
        UpstreamLoad load = holder == null ? null : upstreams.get(holder);
        boolean usable = load != null
                && load.upstream.pool().equals(request.pool())
                && set.contains(load)
                && !request.excluded().contains(load.id);
        return usable ? load : null;
    }

    private @Nullable UpstreamLoad lower(
            @Nullable UpstreamLoad a,
            @Nullable UpstreamLoad b,
            RoutingRequest request,
            long nowMillis,
            double prefillScore) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return total(b, request, nowMillis, prefillScore) < total(a, request, nowMillis, prefillScore) ? b : a;
    }

    private double total(UpstreamLoad load, RoutingRequest request, long nowMillis, double prefillScore) {
        double own = score(load, request, nowMillis, request.outputTokens());
        return load.role() == EngineRole.DECODE ? own + prefillScore : own;
    }

    private double score(UpstreamLoad load, RoutingRequest request, long nowMillis, double outputWork) {
        double prompt = load.role().supportsPrefill() ? promptWork(load, request) : 0;
        double waiting = options.firstTokenWeight() * (load.promptWork + prompt);
        return waiting + load.outputWork + outputWork + load.foreignWork(nowMillis, options.reportTrustMillis());
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
            attempt.generate(tokens);
        }
    }

    @Override
    public void onFinished(String attemptId, Outcome outcome, long nowMillis) {
        AttemptLoad attempt = attempts.remove(attemptId);
        if (attempt != null) {
            boolean promptDone = attempt.finish();
            noteOutcome(attempt.outputUpstream, outcome, nowMillis);
            if (attempt.split() && !promptDone) {
                // Before the first token either engine may be the cause.
                noteOutcome(attempt.promptUpstream, outcome, nowMillis);
            }
            refresh(attempt.promptUpstream, nowMillis);
            refresh(attempt.outputUpstream, nowMillis);
        }
    }

    private void noteOutcome(UpstreamLoad load, Outcome outcome, long nowMillis) {
        switch (outcome) {
            case SUCCESS -> load.health.onOutcome(true, nowMillis);
            case FAILURE -> load.health.onOutcome(false, nowMillis);
            case REFUSED -> load.pausedUntilMillis = nowMillis + options.refusalPauseMillis();
            case CANCELLED -> {}
        }
    }

    @Override
    public void onLoadReport(String upstreamId, int running, int queued, long nowMillis) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.foreignRequests = Math.max(0, running + queued - load.inFlight);
            load.reportMillis = nowMillis;
            pool(load).onReport(load, nowMillis);
        }
    }

    private void refresh(UpstreamLoad load, long nowMillis) {
        pool(load).refresh(load, nowMillis);
    }

    private PoolUpstreams pool(UpstreamLoad load) {
        return pools.computeIfAbsent(load.upstream.pool(), unused -> new PoolUpstreams());
    }
}
