package org.wagtailcart.policy.share;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Meter of the cost that workspaces asked for, were admitted with and were refused over the last second. The number of
 * workspaces is bounded; when it is reached, the one without a request for the longest time is dropped. Not thread safe.
 */
public final class DemandMeter {
    /**
     * Limit on the workspaces of all services. A gateway with 0.3 of a core serves fewer requests in a second, and a
     * report with this many takes 20 KB.
     */
    static final int MAX_WORKSPACES = 400;

    /** Length of the window without its last part, which is still being counted; four polls of the control group. */
    static final long WINDOW_MILLIS = 1_000;

    private static final long SLOT_MILLIS = 250;
    private static final int SLOTS = (int) (WINDOW_MILLIS / SLOT_MILLIS) + 1;

    private final Map<Key, Window> windows = new LinkedHashMap<>(16, 0.75F, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Window> eldest) {
            return size() > MAX_WORKSPACES;
        }
    };

    private record Key(String service, String workspace) {}

    /** What was counted in a part of the window. */
    private record Counts(double asked, double admitted, double refused, double late) {
        static final Counts NONE = new Counts(0, 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(
                    asked + other.asked, admitted + other.admitted, refused + other.refused, late + other.late);
        }
    }

    /** Ring of the parts of the window. */
    private static final class Window {
        private final Counts[] slots = new Counts[SLOTS];
        private long lastSlot = Long.MIN_VALUE / 2;

        Window() {
            Arrays.fill(slots, Counts.NONE);
        }

        void add(Counts counts, long nowMillis) {
            advance(nowMillis);
            int index = Math.floorMod(lastSlot, SLOTS);
            slots[index] = slots[index].plus(counts);
        }

        Counts sum(long nowMillis) {
            advance(nowMillis);
            return List.of(slots).stream().reduce(Counts.NONE, Counts::plus);
        }

        private void advance(long nowMillis) {
            long slot = Math.floorDiv(nowMillis, SLOT_MILLIS);
            for (long next = Math.max(lastSlot + 1, slot - SLOTS + 1); next <= slot; next++) {
                slots[Math.floorMod(next, SLOTS)] = Counts.NONE;
            }
            lastSlot = Math.max(lastSlot, slot);
        }
    }

    /**
     * Records a request that is sent to an upstream.
     *
     * @param late whether its estimated wait exceeds its target
     */
    public void recordAdmitted(String service, String workspace, double cost, boolean late, long nowMillis) {
        add(service, workspace, new Counts(cost, cost, 0, late ? cost : 0), nowMillis);
    }

    /** Records a request that is refused because the service is contended. */
    public void recordRefused(String service, String workspace, double cost, long nowMillis) {
        add(service, workspace, new Counts(cost, 0, 1, 0), nowMillis);
    }

    /** Records that a request which was counted as admitted is refused after all, because no upstream accepted it. */
    public void recordRefusedByUpstreams(String service, String workspace, double cost, long nowMillis) {
        add(service, workspace, new Counts(0, -cost, 1, 0), nowMillis);
    }

    private void add(String service, String workspace, Counts counts, long nowMillis) {
        windows.computeIfAbsent(new Key(service, workspace), key -> new Window())
                .add(counts, nowMillis);
    }

    /** Returns the demand of the workspaces that had requests in the last second. */
    public List<WorkspaceDemand> demand(long nowMillis) {
        double perSecond = 1_000.0 / (WINDOW_MILLIS + Math.floorMod(nowMillis, SLOT_MILLIS));
        List<WorkspaceDemand> demand = new ArrayList<>();
        windows.forEach((key, window) -> {
            Counts sum = window.sum(nowMillis);
            if (sum.asked() > 0 || sum.refused() > 0) {
                demand.add(new WorkspaceDemand(
                        key.service(),
                        key.workspace(),
                        perSecond * sum.asked(),
                        perSecond * Math.max(0, sum.admitted()),
                        perSecond * sum.refused(),
                        perSecond * sum.late()));
            }
        });
        return demand;
    }
}
