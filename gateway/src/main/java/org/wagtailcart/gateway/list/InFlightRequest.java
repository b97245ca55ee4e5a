package org.wagtailcart.gateway.list;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.placement.PrefillSlowdown;
import org.wagtailcart.policy.placement.StreamStartDelay;

/** Use of an upstream by one request, from the choice to the end. */
public final class InFlightRequest {
    private final UpstreamRegistry registry;
    private final Upstream upstream;
    private final Work work;
    private final long startMillis;
    private final long dueMillis;
    private boolean ended;
    private boolean prefilled;

    /**
     * What the upstream has to do.
     *
     * @param prefillTokens prompt tokens that it has to read, 0 for none
     * @param prefillMillis estimated time until they are read
     * @param prefillEngine engine that has read the prompt for it, null when there is none
     */
    record Work(long prefillTokens, double prefillMillis, @Nullable Upstream prefillEngine) {
        static final Work NO_PROMPT = new Work(0, 0, null);
    }

    InFlightRequest(UpstreamRegistry book, Upstream upstream, Work work, long startMillis, long dueMillis) {
        this.registry = book;
        this.upstream = upstream;
        this.work = work;
        this.startMillis = startMillis;
        this.dueMillis = dueMillis;
    }

    /** Returns the upstream. */
    public Upstream upstream() {
        return upstream;
    }

    /** Notes that the upstream has generated something, and so has read the prompt or fetched its KV cache. */
    public void recordFirstOutput() {
        synchronized (registry) {
            if (prefilled || ended) {
                return;
            }
            prefilled = true;
            long nowMillis = registry.nowMillis();
            upstream.promptRead(work.prefillTokens());
            upstream.recordResponse(nowMillis);
            Upstream reader = work.prefillEngine();
            if (reader != null) {
                upstream.startDelay().record(waitedMillis(nowMillis), nowMillis);
                reader.startDelay().record(waitedMillis(nowMillis), nowMillis);
            }
        }
    }

    /** Returns whether the upstream is late with this request and has answered no other since it was sent. */
    boolean isUnanswered(long answeredMillis, long nowMillis) {
        return nowMillis > dueMillis && answeredMillis < startMillis;
    }

    /** Returns how slow the upstream is at least, while it still reads this prompt. */
    double pendingSlowdown(long nowMillis) {
        boolean reading = work.prefillTokens() > 0 && !prefilled;
        return reading ? PrefillSlowdown.ofPending(waitedMillis(nowMillis), work.prefillMillis()) : 1;
    }

    /** Returns by how much the upstream is late at least, while this stream has not begun. */
    double pendingStartDelayMillis(long nowMillis) {
        boolean starting = work.prefillEngine() != null && !prefilled;
        return starting ? StreamStartDelay.excessMillis(waitedMillis(nowMillis)) : 0;
    }

    /** Ends the use without a verdict on the upstream. */
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
            upstream.prefillSlowdown().recordAbandoned(waitedMillis(nowMillis), work.prefillMillis(), nowMillis);
        }
        Upstream reader = work.prefillEngine();
        if (reader != null) {
            upstream.startDelay().recordAbandoned(waitedMillis(nowMillis), nowMillis);
        }
    }

    /** Ends the use of an engine that has read a prompt for another. */
    public void endPrefill(long nowMillis) {
        synchronized (registry) {
            upstream.prefillSlowdown().record(waitedMillis(nowMillis), work.prefillMillis(), nowMillis);
            upstream.promptRead(prefilled ? 0 : work.prefillTokens());
            prefilled = true;
        }
        end(UpstreamOutcome.SUCCESS, nowMillis);
    }

    /** Ends the use with a verdict on the upstream. */
    public void end(UpstreamOutcome outcome, long nowMillis) {
        end();
        if (outcome != UpstreamOutcome.NO_RESPONSE) {
            registry.recordResponse(upstream, nowMillis);
        }
        registry.recordOutcome(upstream, outcome, waitedMillis(nowMillis), nowMillis);
    }

    private double waitedMillis(long nowMillis) {
        return nowMillis - startMillis;
    }
}
