package org.wagtailcart.entry.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkspaceRateLimiterTest {
    /** Guards against entries that together grant more than the limit, beyond the one second that may be used at once. */
    @ParameterizedTest
    @CsvSource({"10, 1", "10, 2", "9, 4", "1000, 3", "1, 4"})
    void entriesTogetherKeepTheLimit(long limit, int entries) {
        long seconds = 60;
        long granted = IntStream.range(0, entries)
                .mapToObj(i -> new WorkspaceRateLimiter())
                .mapToLong(limits -> LongStream.range(0, seconds * 1000)
                        .filter(now -> limits.tryAcquire("w", limit, entries, now))
                        .count())
                .sum();
        assertThat(granted).isAtMost(limit * (seconds + 1) + entries);
        assertThat(granted).isAtLeast(limit * seconds * 9 / 10);
    }

    /** Guards against memory that grows with the number of workspaces. */
    @Test
    void memoryIsBounded() {
        WorkspaceRateLimiter limits = new WorkspaceRateLimiter();
        IntStream.range(0, 100_000).forEach(i -> limits.tryAcquire("w" + i, 10, 1, i));
        assertThat(limits.trackedCount()).isEqualTo(WorkspaceRateLimiter.MAX_TRACKED_WORKSPACES);
    }
}
