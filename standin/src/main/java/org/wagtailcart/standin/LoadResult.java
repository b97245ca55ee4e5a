package org.wagtailcart.standin;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Result of a load generator run.
 *
 * @param seed seed of the load
 * @param planned requests sent
 * @param completed requests with a complete and verified response
 * @param good completed requests within the time limits
 * @param goodShare share of good requests among those planned
 * @param goodTokensPerSecond output tokens of good requests
 * @param keyedAnswered calls with an idempotency key and a verified response
 * @param keyedRunsAboveOne those whose key ran more than once
 * @param firstToken time from arrival to the first token
 * @param tokenInterval time between tokens
 * @param failures requests without a complete and verified response, by reason
 */
public record LoadResult(
        long seed,
        int planned,
        long completed,
        long good,
        double goodShare,
        double goodTokensPerSecond,
        long keyedAnswered,
        long keyedRunsAboveOne,
        Percentiles firstToken,
        Percentiles tokenInterval,
        List<Failure> failures) {
    /** Percentiles of a duration in milliseconds. */
    public record Percentiles(double p50Millis, double p95Millis, double p99Millis, double maxMillis) {
        static Percentiles of(Histogram micros) {
            return new Percentiles(
                    micros.getValueAtPercentile(50) / 1000.0,
                    micros.getValueAtPercentile(95) / 1000.0,
                    micros.getValueAtPercentile(99) / 1000.0,
                    micros.getMaxValue() / 1000.0);
        }

        String text() {
            return String.format(
                    Locale.ROOT,
                    "p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms",
                    p50Millis,
                    p95Millis,
                    p99Millis,
                    maxMillis);
        }
    }

    /** Number of requests that failed for the given reason. */
    public record Failure(String reason, long count) {}

    /** Returns the result as human-readable lines. */
    public String text() {
        String reasons = failures.stream()
                .map(failure -> failure.count() + " " + failure.reason())
                .collect(Collectors.joining(", "));
        return String.format(
                        Locale.ROOT,
                        "seed %d: %d requests, %d completed, %d good (%.1f %%), %.1f good tokens/s%n",
                        seed,
                        planned,
                        completed,
                        good,
                        100 * goodShare,
                        goodTokensPerSecond)
                + "first token: " + firstToken.text() + System.lineSeparator()
                + "between tokens: " + tokenInterval.text() + System.lineSeparator()
                + "keyed calls: " + keyedAnswered + " answered, " + keyedRunsAboveOne + " ran more than once"
                + System.lineSeparator()
                + "failures: " + (reasons.isEmpty() ? "none" : reasons);
    }
}
