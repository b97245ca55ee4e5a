package org.wagtailcart.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against hop-by-hop headers that are forwarded and end-to-end headers that are dropped. */
class HopByHopHeadersTest {
    @ParameterizedTest
    @CsvSource({
        "Host, close, true",
        "Transfer-Encoding, close, false",
        "KEEP-ALIVE, close, false",
        "X-Own, close, true",
        "X-Own, 'close, x-own', false",
        "X-Request-Id, keep-alive, true"
    })
    void forwardsOnlyEndToEndHeaders(String name, String connection, boolean forwarded) {
        List<String> forwardedLines = HopByHopHeaders.removeFrom(List.of("Connection", connection, name, "value"));
        assertThat(forwardedLines).isEqualTo(forwarded ? List.of(name, "value") : List.of());
    }
}
