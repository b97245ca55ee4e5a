package org.wagtailcart.sidecar.queue;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PriorityGateTest {
    private final PriorityGate<String> gate = new PriorityGate<>(2);

    /** Guards against batches that run before interactive work, and against a limit that is exceeded. */
    @Test
    void higherRankGoesFirstWithinTheLimit() {
        assertThat(gate.offer("first", 1, 100, 1).started()).containsExactly("first");
        assertThat(gate.offer("batch", 0, 100, 1).started()).isEmpty();
        assertThat(gate.offer("interactive", 2, 100, 1).started()).isEmpty();
        assertThat(gate.release(1)).containsExactly("interactive");
        assertThat(gate.running()).isEqualTo(1);
    }

    /** Guards against a full queue of batches that keeps interactive work out. */
    @Test
    void fullQueueRefusesTheLowestRank() {
        gate.offer("running", 1, 100, 1);
        gate.offer("b1", 0, 100, 1);
        gate.offer("b2", 0, 100, 1);
        assertThat(gate.offer("interactive", 2, 100, 1).rejected()).containsExactly("b2");
        assertThat(gate.offer("b3", 0, 100, 1).rejected()).containsExactly("b3");
    }

    /** Guards against work that is sent after its deadline. */
    @Test
    void expiredItemsLeaveTheQueue() {
        gate.offer("running", 1, 100, 1);
        gate.offer("late", 1, 50, 1);
        gate.offer("later", 1, 200, 1);
        assertThat(gate.expire(50)).containsExactly("late");
        assertThat(gate.release(1)).containsExactly("later");
    }

    /** Guards against a lower limit that is not obeyed by the next release. */
    @Test
    void lowerLimitHoldsBack() {
        gate.offer("a", 1, 100, 2);
        gate.offer("b", 1, 100, 2);
        gate.offer("c", 1, 100, 2);
        assertThat(gate.release(1)).isEmpty();
        assertThat(gate.release(1)).containsExactly("c");
    }
}
