package org.wagtailcart.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts of the requests that began to run for a gateway, for each window and workspace. Before the first estimate of
 * true time they are held by monotonic time. Thread safe.
 */
public final class UsageCounter {
    /** A leader that no gateway reaches waits this long for counts; a new leader still gets those of this time. */
    static final long RETENTION_MILLIS = 30_000;
    /** Precision of the counts that are held by monotonic time. */
    private static final long SLOT_MILLIS = 10;
    /** Number of replies whose median is the estimate of true time, since single replies are delayed. */
    private static final int MAX_OFFSETS = 9;

    private static final class Count {
        private long value;
        /** Number of the first batch that has the value. */
        private long changedInSequence;
    }

    private final long windowMillis;
    private final long incarnation;
    private final SortedMap<Long, Map<String, Count>> countsByWindow = new TreeMap<>();
    private final SortedMap<Long, Map<String, Long>> heldBySlot = new TreeMap<>();
    private final Deque<Long> offsets = new ArrayDeque<>();
    private final SteadyOffset offset = new SteadyOffset();
    private long lastSequence;
    private long acknowledgedSequence;

    /**
     * Creates a counter without counts.
     *
     * @param incarnation random positive number of this run of the process, below 2^62
     */
    public UsageCounter(long windowMillis, long incarnation) {
        this.windowMillis = windowMillis;
        this.incarnation = incarnation;
        this.lastSequence = incarnation;
    }

    /** Counts a request that began to run at a monotonic time. A request without a workspace is not counted. */
    public synchronized void recordBegin(String workspace, long beganAtMillis) {
        if (workspace.isEmpty()) {
            return;
        }
        OptionalLong known = offset.get();
        if (known.isPresent()) {
            add(workspace, beganAtMillis + known.getAsLong(), 1);
        } else {
            heldBySlot
                    .computeIfAbsent(beganAtMillis / SLOT_MILLIS, slot -> new HashMap<>())
                    .merge(workspace, 1L, Long::sum);
        }
    }

    private void add(String workspace, long trueTimeMillis, long number) {
        Count count = countsByWindow
                .computeIfAbsent(Math.floorDiv(trueTimeMillis, windowMillis), window -> new HashMap<>())
                .computeIfAbsent(workspace, name -> new Count());
        count.value += number;
        count.changedInSequence = lastSequence + 1;
    }

    /**
     * Applies the reply of a member.
     *
     * @param trueTimeMillis estimate of the member, 0 for none
     * @param acknowledged number of the last batch up to which the member has all counts, 0 for none
     */
    public synchronized void applyReply(long trueTimeMillis, long acknowledged, long receivedAtMillis) {
        acknowledgedSequence = acknowledged > incarnation && acknowledged <= lastSequence ? acknowledged : 0;
        if (trueTimeMillis <= 0) {
            return;
        }
        offsets.addLast(trueTimeMillis - receivedAtMillis);
        if (offsets.size() > MAX_OFFSETS) {
            offsets.removeFirst();
        }
        offset.update(TrueTime.median(offsets.stream().mapToLong(Long::longValue)), receivedAtMillis);
        offset.get().ifPresent(this::assignHeld);
    }

    private void assignHeld(long offsetMillis) {
        heldBySlot.forEach((slot, counts) ->
                counts.forEach((workspace, number) -> add(workspace, slot * SLOT_MILLIS + offsetMillis, number)));
        heldBySlot.clear();
    }

    /**
     * Returns the counts that changed since the last acknowledged batch, empty before there is an estimate of true time.
     *
     * @param completeUntilMillis monotonic time until which all begins have been recorded
     */
    public synchronized Optional<UsageBatch> nextBatch(long completeUntilMillis, long nowMillis) {
        heldBySlot.headMap((nowMillis - RETENTION_MILLIS) / SLOT_MILLIS).clear();
        OptionalLong known = offset.get();
        if (known.isEmpty()) {
            return Optional.empty();
        }
        long nowWindow = Math.floorDiv(nowMillis + known.getAsLong(), windowMillis);
        countsByWindow.headMap(nowWindow - RETENTION_MILLIS / windowMillis - 1).clear();
        List<WindowCounts> changed = countsByWindow.entrySet().stream()
                .map(entry -> new WindowCounts(entry.getKey(), changedCounts(entry.getValue())))
                .filter(counts -> !counts.countByWorkspace().isEmpty())
                .toList();
        lastSequence++;
        return Optional.of(new UsageBatch(
                incarnation, lastSequence, completeUntilMillis + known.getAsLong(), changed, acknowledgedSequence));
    }

    private Map<String, Long> changedCounts(Map<String, Count> counts) {
        Map<String, Long> changed = new HashMap<>();
        counts.forEach((workspace, count) -> {
            if (count.changedInSequence > acknowledgedSequence) {
                changed.put(workspace, count.value);
            }
        });
        return changed;
    }

    /** Returns the number of windows with counts, for operators. */
    public synchronized int windows() {
        return countsByWindow.size();
    }

    /** Returns the number of batches since the last one that the member acknowledged, for operators. */
    public synchronized long unacknowledgedBatches() {
        return lastSequence - Math.max(incarnation, acknowledgedSequence);
    }

    /** Returns whether the counter has an estimate of true time. */
    public synchronized boolean hasTrueTime() {
        return offset.get().isPresent();
    }
}
