package org.wagtailcart.entry.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against workspaces that exceed their request rate, and against unbounded memory of the rate limiter. */
class WorkspaceRateLimiterTest {
    /** Guards against entries that together admit more than the limit and its burst of one second, or far less. */
    @ParameterizedTest
    @CsvSource({"10, 1", "10, 2", "9, 4", "1000, 3", "1, 4"})
    void entriesTogetherKeepTheLimit(long limit, int entries) {
        long seconds = 60;
        long admitted = IntStream.range(0, entries)
                .mapToObj(i -> new WorkspaceRateLimiter())
                .mapToLong(limiter -> LongStream.range(0, seconds * 1000)
                        .filter(now -> limiter.tryAcquire("w", limit, entries, now))
                        .count())
                .sum();
        assertThat(admitted).isAtMost(limit * (seconds + 1) + entries);
        assertThat(admitted).isAtLeast(limit * seconds * 9 / 10);
    }

    /** Guards against memory that grows with the number of workspaces without bound. */
    @Test
    void memoryIsBounded() {
        WorkspaceRateLimiter limiter = new WorkspaceRateLimiter();
        IntStream.range(0, 100_000).forEach(i -> limiter.tryAcquire("w" + i, 10, 1, i));
        assertThat(limiter.trackedCount()).isEqualTo(WorkspaceRateLimiter.MAX_TRACKED_WORKSPACES);
    }
}
