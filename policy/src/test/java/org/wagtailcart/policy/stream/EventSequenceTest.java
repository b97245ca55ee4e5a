package org.wagtailcart.policy.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that reach a caller twice, out of order or with a gap. */
class EventSequenceTest {
    private static final int MAX_ID = 30;

    @ParameterizedTest
    @CsvSource({
        "-1, 0, DELIVER",
        "-1, 1, DELIVER",
        "-1, 2, GAP",
        "0, 0, DUPLICATE",
        "0, 1, DELIVER",
        "0, 2, GAP",
        "5, 1, DUPLICATE",
        "5, 5, DUPLICATE",
        "5, 6, DELIVER",
        "5, 7, GAP",
        "999999999999999999, 1, DUPLICATE"
    })
    void onlyTheNextEventIsDelivered(long lastId, long id, EventSequence.Verdict verdict) {
        EventSequence sequence = EventSequence.after(lastId < 0 ? OptionalLong.empty() : OptionalLong.of(lastId));
        assertThat(sequence.accept(id)).isEqualTo(verdict);
        long expectedLastId = verdict == EventSequence.Verdict.DELIVER ? id : lastId;
        assertThat(sequence.lastId().orElse(-1)).isEqualTo(expectedLastId);
    }

    /** Whatever the ids that arrive, those that are delivered are consecutive. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void deliveredIdsAreConsecutive(long seed) {
        Random random = new Random(seed);
        long expected = random.nextInt(MAX_ID);
        EventSequence sequence = EventSequence.after(OptionalLong.of(expected));
        for (int i = 0; i < 1_000; i++) {
            long id = random.nextInt(2 * MAX_ID);
            boolean delivered = sequence.accept(id) == EventSequence.Verdict.DELIVER;
            assertThat(delivered).isEqualTo(id == expected + 1);
            expected += delivered ? 1 : 0;
        }
    }
}
