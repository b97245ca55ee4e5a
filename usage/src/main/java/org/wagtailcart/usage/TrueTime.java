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
    /** Time to collect the clocks of most hosts, which send them every 250 ms, before the first estimate. */
    static final long SETTLE_MILLIS = 1_000;
    /** Fewest clocks of which one may be wrong. */
    static final int MIN_CLOCKS = 3;
    /** Time after which a deployment of fewer hosts gets an estimate. */
    static final long FEW_CLOCKS_MILLIS = 5_000;

    private record Reading(long offsetMillis, long expiresAtMillis) {}

    private final Map<String, Reading> readingByHost = new HashMap<>();
    private final SteadyOffset offset = new SteadyOffset();
    private long firstReadingAtMillis = Long.MAX_VALUE;

    /**
     * Records the wall clock of a host.
     *
     * @param nowMillis monotonic time at which the reading arrived
     */
    public synchronized void record(String host, long wallClockMillis, long nowMillis) {
        firstReadingAtMillis = Math.min(firstReadingAtMillis, nowMillis);
        readingByHost.put(host, new Reading(wallClockMillis - nowMillis, nowMillis + RETENTION_MILLIS));
    }

    /** Returns the true time at a monotonic time, empty before there is an estimate. */
    public synchronized OptionalLong at(long nowMillis) {
        readingByHost.values().removeIf(reading -> reading.expiresAtMillis() < nowMillis);
        int clocks = readingByHost.size();
        long sinceMillis = nowMillis - firstReadingAtMillis;
        boolean enough = clocks >= MIN_CLOCKS ? sinceMillis >= SETTLE_MILLIS : sinceMillis >= FEW_CLOCKS_MILLIS;
        if (firstReadingAtMillis != Long.MAX_VALUE && clocks > 0 && enough) {
            offset.update(medianWithoutOutliers(), nowMillis);
        }
        OptionalLong current = offset.get();
        return current.isPresent() ? OptionalLong.of(nowMillis + current.getAsLong()) : current;
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
