package org.wagtailcart.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a formatted log line that parses to other values, and against other text parsed as an event. */
class LogEventTest {
    @ParameterizedTest
    @ValueSource(strings = {"plain", "", "two words", "a=b", "quote \" and \\ slash", "line\nbreak", "\\n", "[a, b]"})
    void parsesFormattedLine(String value) {
        String line = LogEvent.of("role-changed", "member", value, "term", 7);
        assertThat(LogEvent.parse(line))
                .isEqualTo(Optional.of(new LogEvent.Line("role-changed", Map.of("member", value, "term", "7"))));
    }

    /** Guards against a stack overflow in the writer thread of the log, which ended all logging of the process. */
    @ParameterizedTest
    @ValueSource(strings = {"member ", "\"", "\\", "\n", "= "})
    void parsesALongValue(String unit) {
        String value = unit.repeat(100_000);
        assertThat(LogEvent.parse(LogEvent.of("members-changed", "members", value)))
                .isEqualTo(Optional.of(new LogEvent.Line("members-changed", Map.of("members", value))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "Some text", "watch stopped", "event key", "event key=", "event key=\"open", "event  a=b"})
    void rejectsOtherText(String text) {
        assertThat(LogEvent.parse(text)).isEqualTo(Optional.empty());
    }
}
