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

class DeflationTest {
    private static final byte[] TEXT = "settings ".repeat(100).getBytes(StandardCharsets.UTF_8);

    /** Guards against a body that changes on the wire. */
    @Test
    void readsBack() {
        assertThat(Deflation.inflate(Deflation.deflate(TEXT), TEXT.length)).isEqualTo(TEXT);
        assertThat(Deflation.inflate(Deflation.deflate(new byte[0]), 0)).isEmpty();
    }

    /** Guards against a damaged or hostile body that is taken, never ends or fills the memory. */
    @ParameterizedTest
    @CsvSource({"0, 901", "0, -1", "0, 2000000000", "10, 900", "-1, 900"})
    void refusesDamagedBodies(int cut, int sizeBytes) {
        byte[] whole = Deflation.deflate(TEXT);
        byte[] damaged = cut < 0 ? new byte[] {1, 2, 3} : Arrays.copyOf(whole, whole.length - cut);
        WagtailcartException refused =
                assertThrows(WagtailcartException.class, () -> Deflation.inflate(damaged, sizeBytes));
        assertThat(refused.code()).isEqualTo(ResultCode.FRAME_MALFORMED);
    }
}
