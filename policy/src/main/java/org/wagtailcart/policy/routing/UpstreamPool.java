package org.wagtailcart.policy.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/** Upstreams of one pool, with those that are healthy and have capacity as candidates for each stage. */
final class UpstreamPool {
    /** Prefill engines; mixed engines prefill the prompts of their own requests. */
    final CandidateSet promptCandidates = new CandidateSet(UpstreamLoad.PROMPT_SLOT);
    /** Decode and mixed engines, and plain services. */
    final CandidateSet outputCandidates = new CandidateSet(UpstreamLoad.OUTPUT_SLOT);

    /** Reports per upstream in the average of the share; longer than the oscillation that a lag of seconds causes. */
    private static final double SHARE_AVERAGE_REPORTS = 10;

    /** Share of each upstream's capacity that this entry may use. */
    private double capacityShare = 1;

    /** Lower bound of the share, so that an entry that was idle can grow it again. */
    private static final double MIN_CAPACITY_SHARE = 0.15;

    private final Set<UpstreamLoad> members = new HashSet<>();
    private final Set<UpstreamLoad> ejected = new HashSet<>();
    private final PriorityQueue<Readmission> readmissions =
            new PriorityQueue<>(Comparator.comparingLong(Readmission::atMillis));

    /** Updates this entry's share of the pool from a load report of one upstream. */
    void onReport(UpstreamLoad load, long nowMillis) {
        double weight = 1 / (SHARE_AVERAGE_REPORTS * Math.max(1, members.size()));
        double total = load.inFlight + load.otherEntriesRequests;
        double observedShare = total == 0 ? capacityShare : load.inFlight / total;
        capacityShare = Math.max(MIN_CAPACITY_SHARE, capacityShare + weight * (observedShare - capacityShare));
        refresh(load, nowMillis);
    }

    /** Adds an upstream. The caller refreshes it once all are added: the ejection limit depends on the pool size. */
    void add(UpstreamLoad load) {
        members.add(load);
    }

    void remove(UpstreamLoad load) {
        members.remove(load);
        ejected.remove(load);
        promptCandidates.remove(load);
        outputCandidates.remove(load);
    }

    /** Updates whether an upstream is a candidate, by its capacity and health; ignores one that is not in the pool. */
    void refresh(UpstreamLoad load, long nowMillis) {
        if (!members.contains(load)) {
            return;
        }
        CandidateSet set = load.role().supportsDecode() ? outputCandidates : promptCandidates;
        if (updateEjected(load, nowMillis) || !load.hasCapacity(capacityShare)) {
            set.remove(load);
        } else {
            set.add(load);
        }
    }

    /** Refreshes the upstreams whose ejection or refusal delay has passed. */
    void readmitDue(long nowMillis) {
        while (!readmissions.isEmpty() && readmissions.peek().atMillis() <= nowMillis) {
            refresh(readmissions.remove().load(), nowMillis);
        }
    }

    /**
     * Updates and returns whether an upstream is ejected. At most half of a pool, rounded up, is ejected and never all
     * of it: beyond that the cause is elsewhere, and more load would fall on the remaining upstreams.
     */
    private boolean updateEjected(UpstreamLoad load, long nowMillis) {
        long from = load.availableFromMillis(nowMillis);
        if (from <= nowMillis) {
            ejected.remove(load);
            return false;
        }
        if (!ejected.contains(load) && ejected.size() >= maxEjected()) {
            return false;
        }
        ejected.add(load);
        scheduleReadmission(load, from);
        return true;
    }

    private int maxEjected() {
        return Math.min(members.size() - 1, (members.size() + 1) / 2);
    }

    private void scheduleReadmission(UpstreamLoad load, long atMillis) {
        if (atMillis < Long.MAX_VALUE && load.readmissionAtMillis != atMillis) {
            load.readmissionAtMillis = atMillis;
            readmissions.add(new Readmission(atMillis, load));
        }
    }

    private record Readmission(long atMillis, UpstreamLoad load) {}
}
