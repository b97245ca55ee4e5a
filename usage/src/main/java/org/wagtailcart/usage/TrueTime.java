package org.wagtailcart.usage;

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

    private record Reading(long offsetMillis, long expiresAtMillis) {}

    private final Map<String, Reading> readingByHost = new HashMap<>();
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
        Reading reading = new Reading(wallClockMillis - nowMillis, nowMillis + RETENTION_MILLIS);
        if (readingByHost.put(host, reading) == null) {
            lastNewHostAtMillis = nowMillis;
        }
        if (readingByHost.size() >= MIN_CLOCKS) {
            minClocksAtMillis = Math.min(minClocksAtMillis, nowMillis);
        }
    }

    /** Returns the true time at a monotonic time, empty before there is an estimate. */
    public synchronized OptionalLong at(long nowMillis) {
        readingByHost.values().removeIf(reading -> reading.expiresAtMillis() < nowMillis);
        if (hasEnoughClocks(nowMillis)) {
            offset.update(medianWithoutOutliers(), nowMillis);
        }
        OptionalLong current = offset.get();
        return current.isPresent() ? OptionalLong.of(nowMillis + current.getAsLong()) : current;
    }

    private boolean hasEnoughClocks(long nowMillis) {
        int clocks = readingByHost.size();
        if (clocks >= MIN_CLOCKS) {
            return offset.get().isPresent()
                    || nowMillis - lastNewHostAtMillis >= SETTLE_MILLIS
                    || nowMillis - minClocksAtMillis >= MAX_SETTLE_MILLIS;
        }
        return clocks == MIN_CLOCKS - 1 && nowMillis - firstReadingAtMillis >= FEW_CLOCKS_MILLIS;
    }

    /** Returns the number of hosts whose clock was read lately. */
    public synchronized int clocks() {
        return readingByHost.size();
    }

    private long medianWithoutOutliers() {
        List<Long> offsets =
                readingByHost.values().stream().map(Reading::offsetMillis).toList();
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
