package org.wagtailcart.policy.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stream that is taken for one of the only version although another one has served. */
class VersionHistoryTest {
    private static final long WINDOW_MILLIS = 8_000;

    private static Map<String, Set<String>> versions(String... names) {
        return Map.of("brain", Set.of(names));
    }

    /** The second version is listed from 10 s to 12 s; the list is confirmed each second, until 30 s. */
    @ParameterizedTest
    @CsvSource({
        "500, ''",
        "7_900, ''",
        "8_100, v1",
        "9_900, v1",
        "10_100, ''",
        "12_500, ''",
        "19_500, ''",
        "20_500, v1",
        "32_000, v1",
        "34_000, ''"
    })
    void aSingleVersionIsKnownAfterTheWindow(String nowMillis, String expected) {
        long now = Long.parseLong(nowMillis.replace("_", ""));
        VersionHistory history = new VersionHistory();
        for (long atMillis = 0; atMillis <= Math.min(now, 30_000); atMillis += 1_000) {
            if (atMillis == 0) {
                history.observe(versions("v1"), atMillis);
            } else if (atMillis == 10_000) {
                history.observe(versions("v1", "v2"), atMillis);
            } else if (atMillis == 12_000) {
                history.observe(versions("v1"), atMillis);
            } else {
                history.confirm(atMillis);
            }
        }
        assertThat(history.onlyVersion("brain", WINDOW_MILLIS, now).orElse("")).isEqualTo(expected);
        assertThat(history.onlyVersion("stock", WINDOW_MILLIS, now).isPresent()).isFalse();
    }

    /** A version may have served while the list was not read. */
    @ParameterizedTest
    @CsvSource({"2_000, true", "4_000, false"})
    void aGapInTheListEndsTheObservation(String gapMillis, boolean known) {
        long gap = Long.parseLong(gapMillis.replace("_", ""));
        VersionHistory history = new VersionHistory();
        history.observe(versions("v1"), 0);
        for (long atMillis = 0; atMillis <= 20_000; atMillis += 1_000) {
            history.confirm(atMillis);
        }
        history.confirm(20_000 + gap);
        assertThat(history.onlyVersion("brain", WINDOW_MILLIS, 20_000 + gap).isPresent())
                .isEqualTo(known);
    }
}
