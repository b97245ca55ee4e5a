package org.wagtailcart.sidecar.queue;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the order, the bounds and the expiry of the queue of a concurrency limiter. */
class PriorityConcurrencyLimiterTest {
    private final PriorityConcurrencyLimiter<String> limiter = new PriorityConcurrencyLimiter<>(2);

    /** Guards against batch requests that run before interactive ones, and against an exceeded limit. */
    @Test
    void higherRankGoesFirstWithinTheLimit() {
        assertThat(limiter.offer("first", 1, 100, 1).started()).containsExactly("first");
        assertThat(limiter.offer("batch", 0, 100, 1).started()).isEmpty();
        assertThat(limiter.offer("interactive", 2, 100, 1).started()).isEmpty();
        assertThat(limiter.release(1)).containsExactly("interactive");
        assertThat(limiter.running()).isEqualTo(1);
    }

    /** Guards against rejecting interactive requests because the queue is full of batch requests. */
    @Test
    void fullQueueRefusesTheLowestRank() {
        limiter.offer("running", 1, 100, 1);
        limiter.offer("b1", 0, 100, 1);
        limiter.offer("b2", 0, 100, 1);
        assertThat(limiter.offer("interactive", 2, 100, 1).rejected()).containsExactly("b2");
        assertThat(limiter.offer("b3", 0, 100, 1).rejected()).containsExactly("b3");
    }

    /** Guards against starting a request after its deadline. */
    @Test
    void expiredItemsLeaveTheQueue() {
        limiter.offer("running", 1, 100, 1);
        limiter.offer("late", 1, 50, 1);
        limiter.offer("later", 1, 200, 1);
        assertThat(limiter.expire(50)).containsExactly("late");
        assertThat(limiter.release(1)).containsExactly("later");
    }

    /** Guards against a release that ignores a lowered limit. */
    @Test
    void lowerLimitDelaysQueuedItems() {
        limiter.offer("a", 1, 100, 2);
        limiter.offer("b", 1, 100, 2);
        limiter.offer("c", 1, 100, 2);
        assertThat(limiter.release(1)).isEmpty();
        assertThat(limiter.release(1)).containsExactly("c");
    }
}
