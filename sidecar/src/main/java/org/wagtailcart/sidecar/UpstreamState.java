package org.wagtailcart.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.sidecar.queue.PriorityConcurrencyLimiter;
import org.wagtailcart.sidecar.upstream.EngineLoad;

/** Work of one upstream: what runs, what waits, and the load to report. Safe for use by several threads. */
final class UpstreamState {
    private final String upstreamId;
    private final PriorityConcurrencyLimiter<Attempt> limiter;
    private final Set<Attempt> running = new LinkedHashSet<>();
    private final LongAdder outputTokens = new LongAdder();
    private final AtomicBoolean polling = new AtomicBoolean();
    private boolean blockedByOrder;
    private long leavingSinceMillis = Long.MAX_VALUE;
    private int limit;
    private boolean aboveSoftLimit;
    private volatile boolean reachable = true;
    private volatile EngineLoad load = EngineLoad.NONE;
    private long lastReportTokens;
    private long lastReportMillis;

    UpstreamState(String upstreamId, int queueLimit, long nowMillis) {
        this.upstreamId = upstreamId;
        this.limiter = new PriorityConcurrencyLimiter<>(queueLimit);
        this.lastReportMillis = nowMillis;
    }

    void countToken() {
        outputTokens.increment();
    }

    /**
     * Offers an attempt.
     *
     * @param limits limits in force
     * @throws WagtailcartException when the engine is about to carry an order out
     */
    synchronized PriorityConcurrencyLimiter.OfferResult<Attempt> offer(Attempt attempt, ConcurrencyLimits limits) {
        if (blockedByOrder) {
            throw new WagtailcartException(
                    ResultCode.ENGINE_BUSY_WITH_ORDER, "engine " + upstreamId + " is carrying out an order");
        }
        limit = limits.effective();
        PriorityConcurrencyLimiter.OfferResult<Attempt> offer =
                limiter.offer(attempt, attempt.request().priority().rank(), attempt.deadlineMillis(), limit);
        running.addAll(offer.started());
        updateAboveSoftLimit(limits);
        return offer;
    }

    /** Ends an attempt that ran and returns those that may run now. */
    synchronized List<Attempt> release(Attempt attempt, ConcurrencyLimits limits) {
        running.remove(attempt);
        limit = limits.effective();
        return markRunning(limiter.release(limit));
    }

    /** Returns the attempts that may run now, after limits changed. */
    synchronized List<Attempt> applyLimits(ConcurrencyLimits now) {
        limit = now.effective();
        updateAboveSoftLimit(now);
        return markRunning(limiter.startQueued(limit));
    }

    synchronized List<Attempt> expire(long nowMillis) {
        return limiter.expire(nowMillis);
    }

    /** Removes an attempt that waits; returns whether it did. */
    synchronized boolean remove(Attempt attempt) {
        return limiter.remove(attempt);
    }

    synchronized List<Attempt> removeQueued() {
        return limiter.removeAll();
    }

    /** Returns the attempts that run and may be moved elsewhere. */
    synchronized List<Attempt> resumableAttempts() {
        return running.stream()
                .filter(attempt -> !attempt.request().nonIdempotent())
                .toList();
    }

    synchronized List<Attempt> runningAttempts() {
        return new ArrayList<>(running);
    }

    /** Keeps new work out for an order, or lets it in again; returns the number of attempts that run or wait. */
    synchronized int blockForOrder(boolean hold) {
        blockedByOrder = hold;
        return limiter.running() + limiter.queued();
    }

    /** Notes whether the upstream is leaving and returns for how long it has been. */
    synchronized long updateLeaving(boolean leaving, long nowMillis) {
        leavingSinceMillis = leaving ? Math.min(leavingSinceMillis, nowMillis) : Long.MAX_VALUE;
        return leaving ? nowMillis - leavingSinceMillis : 0;
    }

    synchronized int running() {
        return limiter.running();
    }

    synchronized int queued() {
        return limiter.queued();
    }

    synchronized int limit() {
        return limit;
    }

    boolean reachable() {
        return reachable;
    }

    /** Returns whether the caller may poll the upstream now; {@link #endPoll} ends that. */
    boolean tryBeginPoll() {
        return polling.compareAndSet(false, true);
    }

    void endPoll(boolean answered, EngineLoad engineLoad) {
        reachable = answered;
        load = engineLoad;
        polling.set(false);
    }

    /** Returns the load since the previous report. */
    synchronized LoadReport collectLoadReport(long nowMillis) {
        long tokens = outputTokens.sum();
        double seconds = Math.max(0.001, (nowMillis - lastReportMillis) / 1000.0);
        LoadReport report = new LoadReport(
                upstreamId,
                reachable,
                limiter.running(),
                limiter.queued(),
                load.promptTokensPerSecond(),
                (tokens - lastReportTokens) / seconds,
                load.batchSize(),
                load.tokenIntervalMillis(),
                aboveSoftLimit);
        lastReportTokens = tokens;
        lastReportMillis = nowMillis;
        aboveSoftLimit = false;
        return report;
    }

    private List<Attempt> markRunning(List<Attempt> attempts) {
        running.addAll(attempts);
        return attempts;
    }

    private void updateAboveSoftLimit(ConcurrencyLimits now) {
        aboveSoftLimit = aboveSoftLimit || limiter.running() > now.soft();
    }
}
