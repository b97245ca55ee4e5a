package org.wagtailcart.sidecar.queue;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PriorityConcurrencyLimiterTest {
    private final PriorityConcurrencyLimiter<String> limiter = new PriorityConcurrencyLimiter<>(2);

    /** Guards against batches that run before interactive work, and against a limit that is exceeded. */
    @Test
    void higherRankGoesFirstWithinTheLimit() {
        assertThat(limiter.offer("first", 1, 100, 1).started()).containsExactly("first");
        assertThat(limiter.offer("batch", 0, 100, 1).started()).isEmpty();
        assertThat(limiter.offer("interactive", 2, 100, 1).started()).isEmpty();
        assertThat(limiter.release(1)).containsExactly("interactive");
        assertThat(limiter.running()).isEqualTo(1);
    }

    /** Guards against a full queue of batches that keeps interactive work out. */
    @Test
    void fullQueueRefusesTheLowestRank() {
        limiter.offer("running", 1, 100, 1);
        limiter.offer("b1", 0, 100, 1);
        limiter.offer("b2", 0, 100, 1);
        assertThat(limiter.offer("interactive", 2, 100, 1).rejected()).containsExactly("b2");
        assertThat(limiter.offer("b3", 0, 100, 1).rejected()).containsExactly("b3");
    }

    /** Guards against work that is sent after its deadline. */
    @Test
    void expiredItemsLeaveTheQueue() {
        limiter.offer("running", 1, 100, 1);
        limiter.offer("late", 1, 50, 1);
        limiter.offer("later", 1, 200, 1);
        assertThat(limiter.expire(50)).containsExactly("late");
        assertThat(limiter.release(1)).containsExactly("later");
    }

    /** Guards against a lower limit that is not obeyed by the next release. */
    @Test
    void lowerLimitDelaysQueuedItems() {
        limiter.offer("a", 1, 100, 2);
        limiter.offer("b", 1, 100, 2);
        limiter.offer("c", 1, 100, 2);
        assertThat(limiter.release(1)).isEmpty();
        assertThat(limiter.release(1)).containsExactly("c");
    }
}
