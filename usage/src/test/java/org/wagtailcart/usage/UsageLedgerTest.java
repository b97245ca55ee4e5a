package org.wagtailcart.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against counts that a member ignores after its estimate of true time was wrong. */
class UsageLedgerTest {
    private static final long WINDOW = 353_445_120;
    private static final long END_MILLIS = (WINDOW + 1) * 5_000;

    private final UsageLedger ledger = new UsageLedger();

    private static UsageBatch batch(long sequence, long afterSequence) {
        return new UsageBatch(
                100, sequence, END_MILLIS, List.of(new WindowCounts(WINDOW, Map.of("hule930", 3L))), afterSequence);
    }

    /**
     * Guards against a member that drops counts until true time reaches an earlier, wrong estimate, and against
     * acknowledged counts that it has dropped and gateways do not send again.
     */
    @ParameterizedTest
    @CsvSource({"480, 0, 0", "2, 0, 0", "1, 101, 3"})
    void countsAreAcceptedAfterTrueTimeIsCorrected(long windowsTooLate, long acknowledged, long countBeforeResend) {
        ledger.record("g", batch(101, 0), 0);
        ledger.drop(WINDOW - 13, 0);
        long wrongThrough = windowsTooLate == 1 ? WINDOW - 12 : WINDOW + windowsTooLate;
        ledger.drop(wrongThrough, 100);
        ledger.drop(WINDOW - 13, 200);
        assertThat(ledger.acknowledged("g")).isEqualTo(acknowledged);
        assertThat(ledger.totals(WINDOW).getOrDefault("hule930", 0L)).isEqualTo(countBeforeResend);
        ledger.record("g", batch(102, acknowledged), 300);
        assertThat(ledger.totals(WINDOW)).containsExactly("hule930", 3L);
        assertThat(ledger.acknowledged("g")).isEqualTo(102);
        assertThat(ledger.completeUntilMillis(300)).isEqualTo(END_MILLIS);
    }
}
