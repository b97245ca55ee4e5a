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

/** State of one upstream: running and queued attempts, reachability, and the load for the next report. Thread-safe. */
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
     * Starts or queues an attempt.
     *
     * @param limits concurrency limits in force
     * @return the attempts that may start now, and those rejected because the queue is full
     * @throws WagtailcartException if new requests are blocked by an order of the engine
     */
    synchronized PriorityConcurrencyLimiter.OfferResult<Attempt> offer(Attempt attempt, ConcurrencyLimits limits) {
        if (blockedByOrder) {
            throw new WagtailcartException(
                    ResultCode.ENGINE_BUSY_WITH_ORDER,
                    "engine " + upstreamId + " accepts no requests until its order is finished");
        }
        limit = limits.effective();
        PriorityConcurrencyLimiter.OfferResult<Attempt> offer =
                limiter.offer(attempt, attempt.request().priority().rank(), attempt.deadlineMillis(), limit);
        running.addAll(offer.started());
        updateAboveSoftLimit(limits);
        return offer;
    }

    /** Removes a finished attempt and returns the queued attempts that may start now. */
    synchronized List<Attempt> release(Attempt attempt, ConcurrencyLimits limits) {
        running.remove(attempt);
        limit = limits.effective();
        return markRunning(limiter.release(limit));
    }

    /** Applies new limits and returns the queued attempts that may start now. */
    synchronized List<Attempt> applyLimits(ConcurrencyLimits limits) {
        limit = limits.effective();
        updateAboveSoftLimit(limits);
        return markRunning(limiter.startQueued(limit));
    }

    synchronized List<Attempt> expire(long nowMillis) {
        return limiter.expire(nowMillis);
    }

    /** Removes a queued attempt; returns whether it was queued. */
    synchronized boolean remove(Attempt attempt) {
        return limiter.remove(attempt);
    }

    synchronized List<Attempt> removeQueued() {
        return limiter.removeAll();
    }

    /** Returns the running attempts that another engine may resume. */
    synchronized List<Attempt> resumableAttempts() {
        return running.stream()
                .filter(attempt -> !attempt.request().nonIdempotent())
                .toList();
    }

    synchronized List<Attempt> runningAttempts() {
        return new ArrayList<>(running);
    }

    /** Blocks or unblocks new attempts for an order; returns the number of running and queued attempts. */
    synchronized int blockForOrder(boolean block) {
        blockedByOrder = block;
        return limiter.running() + limiter.queued();
    }

    /** Updates whether the upstream is leaving; returns for how many milliseconds it has been, 0 if it is not. */
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

    /** Returns true if no other poll is in progress; the caller then polls and calls {@link #endPoll}. */
    boolean tryBeginPoll() {
        return polling.compareAndSet(false, true);
    }

    void endPoll(boolean succeeded, EngineLoad engineLoad) {
        reachable = succeeded;
        load = engineLoad;
        polling.set(false);
    }

    /** Returns the load for the period since the previous report and starts a new period. */
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

    private void updateAboveSoftLimit(ConcurrencyLimits limits) {
        aboveSoftLimit = aboveSoftLimit || limiter.running() > limits.soft();
    }
}
