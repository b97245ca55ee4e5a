package org.wagtailcart.policy.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Priority;

/** Guards against lost requests, starved priorities and unreachable deadlines in the admission queue. */
class AdmissionQueueTest {
    private static final long DISTANT_DEADLINE_MILLIS = 1_000_000;

    /** Guards against lost or duplicated requests and unbounded lanes under any mix of offers, starts and removals. */
    @Property(seed = "4711", tries = 300)
    void requestsAreDequeuedOnceAndLanesStayBounded(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(max = 99) Integer> steps) {
        AdmissionQueue<Integer> queue = new AdmissionQueue<>(7);
        Set<Integer> queued = new HashSet<>();
        for (int i = 0; i < steps.size(); i++) {
            int step = steps.get(i);
            if (step < 60) {
                Priority priority = Priority.values()[step % 3];
                if (queue.offer(i, priority, DISTANT_DEADLINE_MILLIS, i) == AdmissionResult.QUEUED) {
                    queued.add(i);
                }
            } else if (step < 90) {
                queue.poll(i).ifPresent(request -> assertThat(queued.remove(request.item()))
                        .isTrue());
            } else {
                assertThat(queue.remove(i - 3)).isEqualTo(queued.remove(i - 3));
            }
            assertThat(queue.size()).isEqualTo(queued.size());
            Stream.of(Priority.values())
                    .forEach(priority -> assertThat(queue.size(priority)).isAtMost(7));
        }
        assertThat(queue.drain().stream().map(QueuedRequest::item).toList()).containsExactlyElementsIn(queued);
    }

    /** Guards against batch requests starved by constant interactive load, and against ones that run before it. */
    @Test
    void batchIsNotStarvedByInteractive() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(1_000);
        IntStream.range(0, 100).forEach(i -> queue.offer("batch-" + i, Priority.BATCH, DISTANT_DEADLINE_MILLIS, 0));
        long batches = IntStream.range(0, 160)
                .filter(i -> {
                    queue.offer("interactive-" + i, Priority.INTERACTIVE, DISTANT_DEADLINE_MILLIS, i);
                    return queue.poll(i).orElseThrow().priority() == Priority.BATCH;
                })
                .count();
        assertThat(batches).isEqualTo(10);
    }

    /** Guards against queueing a request that cannot meet its deadline, and against refusal of one that can. */
    @Test
    void refusesUnreachableDeadlinesByPriority() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(10_000);
        IntStream.range(0, 1_000).forEach(i -> queue.offer("normal-" + i, Priority.NORMAL, DISTANT_DEADLINE_MILLIS, 0));
        IntStream.rangeClosed(1, 500).forEach(i -> queue.poll(i * 10L));
        assertThat(queue.expectedWaitMillis(Priority.NORMAL)).isEqualTo(5_000);
        assertThat(queue.offer("late", Priority.BATCH, 9_900, 5_000)).isEqualTo(AdmissionResult.DEADLINE_UNREACHABLE);
        assertThat(queue.offer("in-time", Priority.NORMAL, 10_100, 5_000)).isEqualTo(AdmissionResult.QUEUED);
        assertThat(queue.offer("urgent", Priority.INTERACTIVE, 5_000, 5_000)).isEqualTo(AdmissionResult.QUEUED);
        assertThat(queue.expire(10_101).stream().map(QueuedRequest::item)).containsExactly("in-time", "urgent");
    }
}
