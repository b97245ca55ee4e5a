package org.wagtailcart.usage;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * Estimate of the true time of day: the median of the wall clocks of many hosts, mapped to a monotonic clock. Clocks far
 * from the median do not shift it. Thread safe.
 */
public final class TrueTime {
    /** A host without a reading for this long has stopped or polls another member. */
    private static final long RETENTION_MILLIS = 3_000;
    /** Fewest clocks of which one may be wrong. */
    static final int MIN_CLOCKS = 3;
    /**
     * Time without a new host before the first estimate. Hosts send their clocks every 250 ms; of the first few, most may
     * be wrong though only a third of all are.
     */
    static final long SETTLE_MILLIS = 1_000;
    /** Time after which the first estimate no longer waits for further hosts. */
    static final long MAX_SETTLE_MILLIS = 5_000;
    /** Time after which two clocks are enough, in a deployment of few hosts. */
    static final long FEW_CLOCKS_MILLIS = 30_000;

    /** Number of readings of a host that count, 2 s of polls. */
    private static final int MAX_READINGS = 8;

    /** The latest readings of the clock of a host. */
    private static final class Readings {
        private final Deque<Long> offsets = new ArrayDeque<>();
        private long expiresAtMillis;

        void add(long offsetMillis, long nowMillis) {
            offsets.addLast(offsetMillis);
            if (offsets.size() > MAX_READINGS) {
                offsets.removeFirst();
            }
            expiresAtMillis = nowMillis + RETENTION_MILLIS;
        }

        /** Returns the offset of the reading that was delayed least; a delay makes the clock look late. */
        long offsetMillis() {
            return Collections.max(offsets);
        }
    }

    private final Map<String, Readings> readingsByHost = new HashMap<>();
    private final SteadyOffset offset = new SteadyOffset();
    private long firstReadingAtMillis = Long.MAX_VALUE;
    private long minClocksAtMillis = Long.MAX_VALUE;
    private long lastNewHostAtMillis;

    /**
     * Records the wall clock of a host.
     *
     * @param nowMillis monotonic time at which the reading arrived
     */
    public synchronized void record(String host, long wallClockMillis, long nowMillis) {
        firstReadingAtMillis = Math.min(firstReadingAtMillis, nowMillis);
        if (!readingsByHost.containsKey(host)) {
            lastNewHostAtMillis = nowMillis;
        }
        readingsByHost.computeIfAbsent(host, name -> new Readings()).add(wallClockMillis - nowMillis, nowMillis);
        if (readingsByHost.size() >= MIN_CLOCKS) {
            minClocksAtMillis = Math.min(minClocksAtMillis, nowMillis);
        }
    }

    /** Returns the true time at a monotonic time, empty before there is an estimate. */
    public synchronized OptionalLong at(long nowMillis) {
        readingsByHost.values().removeIf(readings -> readings.expiresAtMillis < nowMillis);
        if (hasEnoughClocks(nowMillis)) {
            offset.update(medianWithoutOutliers(), nowMillis);
        }
        OptionalLong current = offset.get();
        return current.isPresent() ? OptionalLong.of(nowMillis + current.getAsLong()) : current;
    }

    private boolean hasEnoughClocks(long nowMillis) {
        int clocks = readingsByHost.size();
        if (clocks >= MIN_CLOCKS) {
            return offset.get().isPresent()
                    || nowMillis - lastNewHostAtMillis >= SETTLE_MILLIS
                    || nowMillis - minClocksAtMillis >= MAX_SETTLE_MILLIS;
        }
        return clocks == MIN_CLOCKS - 1 && nowMillis - firstReadingAtMillis >= FEW_CLOCKS_MILLIS;
    }

    /** Returns the number of hosts whose clock was read lately. */
    public synchronized int clocks() {
        return readingsByHost.size();
    }

    private long medianWithoutOutliers() {
        List<Long> offsets =
                readingsByHost.values().stream().map(Readings::offsetMillis).toList();
        long center = median(offsets.stream().mapToLong(Long::longValue));
        return median(offsets.stream()
                .mapToLong(Long::longValue)
                .filter(value -> Math.abs(value - center) <= SteadyOffset.MAX_CHANGE_MILLIS));
    }

    /** Returns the median, the lower one of an even number of values. */
    static long median(LongStream values) {
        long[] sorted = values.sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }
}
