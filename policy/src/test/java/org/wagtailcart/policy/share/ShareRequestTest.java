package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that count as endangered although a place is free, or only once it is too late. */
class ShareRequestTest {
    @ParameterizedTest
    @CsvSource({
        // No wait: not endangered, however long the request itself takes.
        "0, 2000, 500, false, 0.0, false",
        "0, 100, -50, false, 0.0, false",
        // A wait of up to half of the shortest target is harmless for a request with time left.
        "100, 200, 1500, false, 0.0, false",
        "250, 400, 1500, false, 0.0, false",
        // A longer wait endangers the requests behind it, also when this one has time left.
        "251, 400, 1500, true, 0.004, false",
        "375, 500, 1500, true, 0.5, false",
        "900, 1000, 1500, true, 1.0, false",
        // A short wait endangers a request whose own work takes most of its time.
        "10, 460, 500, true, 0.0, false",
        "10, 510, 500, true, 0.0, true",
    })
    void waitIsComparedWithTheTargets(
            double waitMillis,
            double totalMillis,
            long remainingMillis,
            boolean endangered,
            double pressure,
            boolean late) {
        ShareRequest request =
                ShareRequest.of("s", "w", 1, new ShareRequest.Estimate(waitMillis, totalMillis), remainingMillis, 500);
        assertThat(request.endangered()).isEqualTo(endangered);
        assertThat(request.pressure()).isWithin(1e-9).of(pressure);
        assertThat(request.late()).isEqualTo(late);
    }
}
