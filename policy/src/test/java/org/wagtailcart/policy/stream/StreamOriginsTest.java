package org.wagtailcart.policy.stream;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stream whose origin is lost, kept without end, or taken from another stream. */
class StreamOriginsTest {
    private static final StreamOrigin V1 = new StreamOrigin("brain", "v1");

    private final StreamOrigins origins = new StreamOrigins();

    @ParameterizedTest
    @CsvSource({"999, true", "1000, false"})
    void anEntryExpires(long nowMillis, boolean known) {
        origins.record("r-1", V1, 1_000, 0);
        assertThat(origins.find("r-1", nowMillis).isPresent()).isEqualTo(known);
        assertThat(origins.find("r-2", nowMillis)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"brain, v1, true", "brain, v2, false", "stock, v1, false"})
    void anIdWithTwoOriginsHasNone(String service, String version, boolean known) {
        origins.record("r-1", V1, 1_000, 0);
        origins.record("r-1", new StreamOrigin(service, version), 1_000, 0);
        origins.record("r-1", V1, 1_000, 0);
        assertThat(origins.find("r-1", 0).isPresent()).isEqualTo(known);
    }

    @Test
    void theNumberOfEntriesIsBounded() {
        for (int i = 0; i < 150_000; i++) {
            origins.record("r-" + i, V1, i < 10_000 ? 1 : 1_000, i < 10_000 ? 0 : 1);
        }
        assertThat(origins.size()).isEqualTo(100_000);
        assertThat(origins.find("r-149999", 1)).isPresent();
        assertThat(origins.find("r-20000", 1)).isEmpty();
        origins.record("r-1", V1, 3_000, 2_000);
        assertThat(origins.size()).isEqualTo(1);
    }
}
