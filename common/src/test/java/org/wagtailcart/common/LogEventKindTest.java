package org.wagtailcart.common;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against log events that differ from their documentation or lack a field. */
class LogEventKindTest {
    /** Guards against a documented table of log events that lacks a kind or lists other fields. */
    @Test
    void theTableOfLogLinesMatchesTheEnum() throws IOException {
        List<String> expected = Arrays.stream(LogEventKind.values())
                .map(kind -> "| `" + kind.eventName() + "` | "
                        + kind.fields().stream().map(field -> "`" + field + "`").collect(Collectors.joining(", "))
                        + " ")
                .toList();
        List<String> rows = Files.readAllLines(Path.of("..", "docs", "OPERATIONS.md")).stream()
                .filter(line -> line.startsWith("| `"))
                .map(line -> String.join("|", Arrays.copyOf(line.split("\\|", -1), 3)))
                .toList();
        assertThat(rows).containsAtLeastElementsIn(expected).inOrder();
    }

    @Test
    void anEventHasAValueForEachField() {
        assertThrows(IllegalArgumentException.class, () -> new TypedLogEvent(LogEventKind.CONTROL_REGAINED));
        assertThat(new TypedLogEvent(LogEventKind.CONTROL_REGAINED, "10.0.0.1:7000").toString())
                .isEqualTo("control-regained member=10.0.0.1:7000");
    }
}
