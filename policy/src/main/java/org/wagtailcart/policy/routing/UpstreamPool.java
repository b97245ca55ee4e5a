package org.wagtailcart.policy.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/** Upstreams of one pool that may get work, by stage. */
final class UpstreamPool {
    /** Prefill engines; mixed engines process the prompts of their own requests. */
    final CandidateSet promptCandidates = new CandidateSet(UpstreamLoad.PROMPT_SLOT);
    /** Decode and mixed engines, and plain services. */
    final CandidateSet outputCandidates = new CandidateSet(UpstreamLoad.OUTPUT_SLOT);

    /** Reports per upstream over which the share is averaged: longer than the swing that a lag of seconds causes. */
    private static final double SHARE_AVERAGE_REPORTS = 10;

    /** Part of each upstream's room that this entry may fill. */
    private double capacityShare = 1;

    /** An entry that was idle must be able to grow its share again. */
    private static final double MIN_CAPACITY_SHARE = 0.15;

    private final Set<UpstreamLoad> members = new HashSet<>();
    private final Set<UpstreamLoad> ejected = new HashSet<>();
    private final PriorityQueue<Readmission> readmissions =
            new PriorityQueue<>(Comparator.comparingLong(Readmission::atMillis));

    /** Takes a report of one upstream into this entry's share of the pool. */
    void onReport(UpstreamLoad load, long nowMillis) {
        double weight = 1 / (SHARE_AVERAGE_REPORTS * Math.max(1, members.size()));
        double all = load.inFlight + load.otherEntriesRequests;
        double observedShare = all == 0 ? capacityShare : load.inFlight / all;
        capacityShare = Math.max(MIN_CAPACITY_SHARE, capacityShare + weight * (observedShare - capacityShare));
        refresh(load, nowMillis);
    }

    /** Adds an upstream; the caller refreshes it once all are added, because the share that may be out depends on all. */
    void add(UpstreamLoad load) {
        members.add(load);
    }

    void remove(UpstreamLoad load) {
        members.remove(load);
        ejected.remove(load);
        promptCandidates.remove(load);
        outputCandidates.remove(load);
    }

    /** Puts an upstream into or out of its set as its room and health say; ignores one that has left. */
    void refresh(UpstreamLoad load, long nowMillis) {
        if (!members.contains(load)) {
            return;
        }
        CandidateSet set = load.role().supportsDecode() ? outputCandidates : promptCandidates;
        if (updateEjected(load, nowMillis) || !load.hasRoom(capacityShare)) {
            set.remove(load);
        } else {
            set.add(load);
        }
    }

    /** Takes back upstreams whose time out has passed. */
    void readmitDue(long nowMillis) {
        while (!readmissions.isEmpty() && readmissions.peek().atMillis() <= nowMillis) {
            refresh(readmissions.remove().load(), nowMillis);
        }
    }

    /** At most half of a pool, rounded up, is out for failures: beyond that the cause is elsewhere and more load would fall on the rest. */
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
