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
import org.wagtailcart.sidecar.queue.PriorityGate;
import org.wagtailcart.sidecar.upstream.EngineLoad;

/** Work of one upstream: what runs, what waits, and the load to report. Safe for use by several threads. */
final class UpstreamSlot {
    private final String upstreamId;
    private final PriorityGate<Attempt> gate;
    private final Set<Attempt> running = new LinkedHashSet<>();
    private final LongAdder outputTokens = new LongAdder();
    private final AtomicBoolean polling = new AtomicBoolean();
    private boolean heldForOrder;
    private long leavingSinceMillis = Long.MAX_VALUE;
    private int limit;
    private boolean aboveSoftLimit;
    private volatile boolean reachable = true;
    private volatile EngineLoad load = EngineLoad.NONE;
    private long reportedTokens;
    private long reportedMillis;

    UpstreamSlot(String upstreamId, int queueLimit, long nowMillis) {
        this.upstreamId = upstreamId;
        this.gate = new PriorityGate<>(queueLimit);
        this.reportedMillis = nowMillis;
    }

    void countToken() {
        outputTokens.increment();
    }

    /**
     * Offers an attempt.
     *
     * @param now limits in force
     * @throws WagtailcartException when the engine is about to carry an order out
     */
    synchronized PriorityGate.Offer<Attempt> offer(Attempt attempt, Limits now) {
        if (heldForOrder) {
            throw new WagtailcartException(
                    ResultCode.ENGINE_BUSY_WITH_ORDER, "engine " + upstreamId + " is carrying out an order");
        }
        limit = now.current();
        PriorityGate.Offer<Attempt> offer =
                gate.offer(attempt, attempt.request().priority().rank(), attempt.deadlineMillis(), limit);
        running.addAll(offer.started());
        noteHard(now);
        return offer;
    }

    /** Ends an attempt that ran and returns those that may run now. */
    synchronized List<Attempt> release(Attempt attempt, Limits now) {
        running.remove(attempt);
        limit = now.current();
        return started(gate.release(limit));
    }

    /** Returns the attempts that may run now, after limits changed. */
    synchronized List<Attempt> adjust(Limits now) {
        limit = now.current();
        noteHard(now);
        return started(gate.start(limit));
    }

    synchronized List<Attempt> expire(long nowMillis) {
        return gate.expire(nowMillis);
    }

    /** Removes an attempt that waits; returns whether it did. */
    synchronized boolean remove(Attempt attempt) {
        return gate.remove(attempt);
    }

    synchronized List<Attempt> removeQueued() {
        return gate.removeAll();
    }

    /** Returns the attempts that run and may be moved elsewhere. */
    synchronized List<Attempt> movable() {
        return running.stream()
                .filter(attempt -> !attempt.request().nonIdempotent())
                .toList();
    }

    synchronized List<Attempt> all() {
        return new ArrayList<>(running);
    }

    /** Keeps new work out for an order, or lets it in again; returns the number of attempts that run or wait. */
    synchronized int holdForOrder(boolean hold) {
        heldForOrder = hold;
        return gate.running() + gate.queued();
    }

    /** Notes whether the upstream is leaving and returns for how long it has been. */
    synchronized long leavingMillis(boolean leaving, long nowMillis) {
        leavingSinceMillis = leaving ? Math.min(leavingSinceMillis, nowMillis) : Long.MAX_VALUE;
        return leaving ? nowMillis - leavingSinceMillis : 0;
    }

    synchronized int running() {
        return gate.running();
    }

    synchronized int queued() {
        return gate.queued();
    }

    synchronized int limit() {
        return limit;
    }

    boolean reachable() {
        return reachable;
    }

    /** Returns whether the caller may poll the upstream now; {@link #polled} ends that. */
    boolean beginPoll() {
        return polling.compareAndSet(false, true);
    }

    void polled(boolean answered, EngineLoad engineLoad) {
        reachable = answered;
        load = engineLoad;
        polling.set(false);
    }

    /** Returns the load since the previous report. */
    synchronized LoadReport report(long nowMillis) {
        long tokens = outputTokens.sum();
        double seconds = Math.max(0.001, (nowMillis - reportedMillis) / 1000.0);
        LoadReport report = new LoadReport(
                upstreamId,
                reachable,
                gate.running(),
                gate.queued(),
                load.promptTokensPerSecond(),
                (tokens - reportedTokens) / seconds,
                load.batchSize(),
                load.tokenIntervalMillis(),
                aboveSoftLimit);
        reportedTokens = tokens;
        reportedMillis = nowMillis;
        aboveSoftLimit = false;
        return report;
    }

    private List<Attempt> started(List<Attempt> attempts) {
        running.addAll(attempts);
        return attempts;
    }

    private void noteHard(Limits now) {
        aboveSoftLimit = aboveSoftLimit || gate.running() > now.soft();
    }
}
