package org.wagtailcart.gateway.list;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.placement.OverdueBound;
import org.wagtailcart.policy.placement.PrefillRateEstimate;
import org.wagtailcart.policy.placement.PrefillSlowdown;
import org.wagtailcart.policy.placement.StreamStartDelay;

/** Record of one in-flight request at an upstream, from the selection of the upstream to the outcome. Thread safe. */
public final class InFlightRequest {
    private final UpstreamRegistry registry;
    private final Upstream upstream;
    private final Work work;
    private final long startMillis;
    private final double usualMillis;
    private boolean ended;
    private boolean prefilled;
    private long firstOutputAtMillis = -1;

    /**
     * Expected work of the upstream for the request.
     *
     * @param prefillTokens prompt tokens that it has to prefill, 0 for none
     * @param prefillMillis estimated duration of the prefill, including its queue time
     * @param queuedTokens prompt tokens queued before it
     * @param fetchMillis part of that time in which KV cache is fetched
     * @param restartTokens prompt tokens that another engine would have to prefill
     * @param prefillEngine engine that ran the prefill for it, null if there is none
     */
    record Work(
            long prefillTokens,
            double prefillMillis,
            long queuedTokens,
            double fetchMillis,
            long restartTokens,
            @Nullable Upstream prefillEngine) {
        static final Work NO_PROMPT = new Work(0, 0, 0, 0, 0, null);
    }

    /**
     * Creates the record of a request.
     *
     * @param usualMillis usual duration of a request without a prefill
     */
    InFlightRequest(UpstreamRegistry registry, Upstream upstream, Work work, long startMillis, double usualMillis) {
        this.registry = registry;
        this.upstream = upstream;
        this.work = work;
        this.startMillis = startMillis;
        this.usualMillis = usualMillis;
    }

    /** Returns the upstream at which the request is in flight. */
    public Upstream upstream() {
        return upstream;
    }

    /** Records the first output of the upstream, which implies that its prefill or KV cache fetch is complete. */
    public void recordFirstOutput() {
        synchronized (registry) {
            if (prefilled || ended) {
                return;
            }
            prefilled = true;
            long nowMillis = registry.nowMillis();
            firstOutputAtMillis = nowMillis;
            upstream.prefillCompleted(work.prefillTokens());
            upstream.recordResponse(nowMillis);
            Upstream prefillEngine = work.prefillEngine();
            if (prefillEngine != null) {
                upstream.startDelay().record(elapsedMillis(nowMillis), nowMillis);
                prefillEngine.startDelay().record(elapsedMillis(nowMillis), nowMillis);
            }
        }
    }

    /** Returns the monotonic time of the first output of the upstream, -1 if there was none. */
    public long firstOutputAtMillis() {
        synchronized (registry) {
            return firstOutputAtMillis;
        }
    }

    /** Returns whether the request is overdue and the upstream has sent no other response since it started. */
    boolean isOverdueWithoutResponse(long answeredMillis, double tokensPerMilli, long nowMillis) {
        return answeredMillis < startMillis && nowMillis > startMillis + boundMillis(tokensPerMilli);
    }

    private long boundMillis(double tokensPerMilli) {
        return work.prefillTokens() == 0
                ? OverdueBound.millis(usualMillis)
                : OverdueBound.prefillMillis(
                        work.prefillTokens(),
                        work.queuedTokens(),
                        upstream.queuedTokens() - (prefilled ? 0 : work.prefillTokens()),
                        work.restartTokens(),
                        tokensPerMilli);
    }

    /** Returns a lower bound of the slowdown of the upstream while the prefill is pending, otherwise 1. */
    double pendingSlowdown(long nowMillis) {
        boolean prefillPending = work.prefillTokens() > 0 && !prefilled;
        return prefillPending ? PrefillSlowdown.ofPending(elapsedMillis(nowMillis), work.prefillMillis()) : 1;
    }

    /** Returns a lower bound of the start delay of the upstream while the stream has not started, otherwise 0. */
    double pendingStartDelayMillis(long nowMillis) {
        boolean startPending = work.prefillEngine() != null && !prefilled;
        return startPending ? StreamStartDelay.excessMillis(elapsedMillis(nowMillis)) : 0;
    }

    /** Ends the request without recording an outcome of the upstream. Has no effect if it has already ended. */
    public void end() {
        synchronized (registry) {
            if (ended) {
                return;
            }
            ended = true;
            if (!prefilled) {
                recordAbandoned(registry.nowMillis());
            }
            upstream.ended(this, prefilled ? 0 : work.prefillTokens());
        }
    }

    private void recordAbandoned(long nowMillis) {
        if (work.prefillTokens() > 0) {
            upstream.prefillSlowdown().recordAbandoned(elapsedMillis(nowMillis), work.prefillMillis(), nowMillis);
        }
        Upstream prefillEngine = work.prefillEngine();
        if (prefillEngine != null) {
            upstream.startDelay().recordAbandoned(elapsedMillis(nowMillis), nowMillis);
        }
    }

    /** Ends a successful request to an engine that ran the prefill for another engine. */
    public void endPrefill(long nowMillis) {
        synchronized (registry) {
            upstream.prefillSlowdown().record(elapsedMillis(nowMillis), work.prefillMillis(), nowMillis);
            PrefillRateEstimate.sample(
                            work.prefillTokens(), work.queuedTokens(), elapsedMillis(nowMillis), work.fetchMillis())
                    .ifPresent(rate -> registry.recordRate(upstream, rate, nowMillis));
            upstream.prefillCompleted(prefilled ? 0 : work.prefillTokens());
            prefilled = true;
        }
        end(UpstreamOutcome.SUCCESS, nowMillis);
    }

    /** Ends the request and records its outcome for the upstream. */
    public void end(UpstreamOutcome outcome, long nowMillis) {
        end();
        if (outcome != UpstreamOutcome.NO_RESPONSE) {
            registry.recordResponse(upstream, nowMillis);
        }
        registry.recordOutcome(upstream, outcome, elapsedMillis(nowMillis), nowMillis);
    }

    double elapsedMillis(long nowMillis) {
        return nowMillis - startMillis;
    }
}
