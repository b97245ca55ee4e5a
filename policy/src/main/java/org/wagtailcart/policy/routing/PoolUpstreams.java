package org.wagtailcart.policy.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/** Upstreams of one pool that may get work, by stage. */
final class PoolUpstreams {
    /** Prefill engines; mixed engines process the prompts of their own requests. */
    final OpenSet prompt = new OpenSet(UpstreamLoad.PROMPT_SLOT);
    /** Decode and mixed engines, and plain services. */
    final OpenSet output = new OpenSet(UpstreamLoad.OUTPUT_SLOT);

    /** Reports per upstream over which the share is averaged: longer than the swing that a lag of seconds causes. */
    private static final double SHARE_REPORTS = 10;

    /** Part of each upstream's room that this entry may fill. */
    private double share = 1;

    /** An entry that was idle must be able to grow its share again. */
    private static final double MIN_SHARE = 0.15;

    private final Set<UpstreamLoad> members = new HashSet<>();
    private final Set<UpstreamLoad> out = new HashSet<>();
    private final PriorityQueue<Reopening> reopenings =
            new PriorityQueue<>(Comparator.comparingLong(Reopening::atMillis));

    /** Takes a report of one upstream into this entry's share of the pool. */
    void onReport(UpstreamLoad load, long nowMillis) {
        double weight = 1 / (SHARE_REPORTS * Math.max(1, members.size()));
        double all = load.inFlight + load.foreignRequests;
        double seen = all == 0 ? share : load.inFlight / all;
        share = Math.max(MIN_SHARE, share + weight * (seen - share));
        refresh(load, nowMillis);
    }

    /** Adds an upstream; the caller refreshes it once all are added, because the share that may be out depends on all. */
    void add(UpstreamLoad load) {
        members.add(load);
    }

    void remove(UpstreamLoad load) {
        members.remove(load);
        out.remove(load);
        prompt.remove(load);
        output.remove(load);
    }

    /** Puts an upstream into or out of its set as its room and health say; ignores one that has left. */
    void refresh(UpstreamLoad load, long nowMillis) {
        if (!members.contains(load)) {
            return;
        }
        OpenSet set = load.role().takesOutput() ? output : prompt;
        if (takenOut(load, nowMillis) || !load.hasRoom(share)) {
            set.remove(load);
        } else {
            set.add(load);
        }
    }

    /** Takes back upstreams whose time out has passed. */
    void reopen(long nowMillis) {
        while (!reopenings.isEmpty() && reopenings.peek().atMillis() <= nowMillis) {
            refresh(reopenings.remove().load(), nowMillis);
        }
    }

    /** At most half of a pool, rounded up, is out for failures: beyond that the cause is elsewhere and more load would fall on the rest. */
    private boolean takenOut(UpstreamLoad load, long nowMillis) {
        long from = load.admitsFromMillis(nowMillis);
        if (from <= nowMillis) {
            out.remove(load);
            return false;
        }
        if (!out.contains(load) && out.size() >= mostOut()) {
            return false;
        }
        out.add(load);
        schedule(load, from);
        return true;
    }

    private int mostOut() {
        return Math.min(members.size() - 1, (members.size() + 1) / 2);
    }

    private void schedule(UpstreamLoad load, long atMillis) {
        if (atMillis < Long.MAX_VALUE && load.scheduledMillis != atMillis) {
            load.scheduledMillis = atMillis;
            reopenings.add(new Reopening(atMillis, load));
        }
    }

    private record Reopening(long atMillis, UpstreamLoad load) {}
}
