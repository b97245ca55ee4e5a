package org.wagtailcart.control.client;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Guards against bodies that are altered by compression and against damaged bodies that are accepted. */
class DeflationTest {
    private static final byte[] TEXT = "settings ".repeat(100).getBytes(StandardCharsets.UTF_8);

    /** Guards against a body that differs after compression and decompression. */
    @Test
    void roundTrips() {
        assertThat(Deflation.inflate(Deflation.deflate(TEXT), TEXT.length)).isEqualTo(TEXT);
        assertThat(Deflation.inflate(Deflation.deflate(new byte[0]), 0)).isEmpty();
    }

    /** Guards against a damaged or hostile body that is accepted, inflates forever or exhausts memory. */
    @ParameterizedTest
    @CsvSource({"0, 901", "0, -1", "0, 2000000000", "10, 900", "-1, 900"})
    void rejectsDamagedBodies(int removedBytes, int sizeBytes) {
        byte[] deflated = Deflation.deflate(TEXT);
        byte[] damaged =
                removedBytes < 0 ? new byte[] {1, 2, 3} : Arrays.copyOf(deflated, deflated.length - removedBytes);
        WagtailcartException error =
                assertThrows(WagtailcartException.class, () -> Deflation.inflate(damaged, sizeBytes));
        assertThat(error.code()).isEqualTo(ResultCode.FRAME_MALFORMED);
    }
}
