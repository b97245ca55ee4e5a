package org.wagtailcart.standin;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the outcomes of the requests of a load. Thread-safe. */
final class LoadRecorder {
    static final long FIRST_TOKEN_LIMIT_MILLIS = 1_800;
    static final long TOKEN_INTERVAL_LIMIT_MILLIS = 46;

    private static final long MAX_MICROS = 3_600_000_000L;
    /** Percentile of the token intervals that {@link #TOKEN_INTERVAL_LIMIT_MILLIS} applies to. */
    private static final double INTERVAL_PERCENTILE = 95;

    private final Histogram firstTokenMicros = new Histogram(MAX_MICROS, 3);
    private final Histogram intervalMicros = new Histogram(MAX_MICROS, 3);
    private final Map<String, Long> failures = new TreeMap<>();
    private long completed;
    private long good;
    private long goodTokens;
    private long keyedResponses;
    private long keyedRunsAboveOne;

    /** Records a complete and verified stream. */
    synchronized void recordStream(long firstMicros, Histogram intervals, int tokens) {
        completed++;
        firstTokenMicros.recordValue(Math.min(firstMicros, MAX_MICROS));
        intervalMicros.add(intervals);
        boolean inTime = firstMicros <= FIRST_TOKEN_LIMIT_MILLIS * 1000
                && intervals.getValueAtPercentile(INTERVAL_PERCENTILE) <= TOKEN_INTERVAL_LIMIT_MILLIS * 1000;
        if (inTime) {
            good++;
            goodTokens += tokens;
        }
    }

    /**
     * Records the verified response to a call with an idempotency key.
     *
     * @param runs how many requests with that key the service ran
     */
    synchronized void recordKeyed(long runs) {
        completed++;
        keyedResponses++;
        good += runs == 1 ? 1 : 0;
        keyedRunsAboveOne += runs > 1 ? 1 : 0;
    }

    /** Records a request without a complete and verified response. */
    synchronized void recordFailure(String reason) {
        failures.merge(reason, 1L, Long::sum);
    }

    synchronized LoadResult result(LoadOptions options, int planned) {
        return new LoadResult(
                options.seed(),
                planned,
                completed,
                good,
                planned == 0 ? 0 : (double) good / planned,
                goodTokens * 1000.0 / options.durationMillis(),
                keyedResponses,
                keyedRunsAboveOne,
                LoadResult.Percentiles.of(firstTokenMicros),
                LoadResult.Percentiles.of(intervalMicros),
                failures.entrySet().stream()
                        .map(entry -> new LoadResult.Failure(entry.getKey(), entry.getValue()))
                        .toList());
    }
}
