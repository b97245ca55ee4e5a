package org.wagtailcart.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;

/** Guards against tables of the documentation that differ from the enums they describe. */
class DocumentationTest {
    private static List<String> tableRows(String file, String start, int columns) throws IOException {
        return Files.readAllLines(Path.of("..", "docs", file)).stream()
                .filter(line -> line.startsWith(start))
                .map(line -> String.join("|", Arrays.copyOf(line.split("\\|", -1), columns + 1)))
                .toList();
    }

    /** Guards against a table without a result code, or with another run state, repeat safety or HTTP status. */
    @Test
    void resultCodesMatchTheEnum() throws IOException {
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(code -> "| " + code.number() + " | `" + SettingNames.of(code) + "` | "
                        + SettingNames.of(code.runState()) + " | " + (code.repeatSafe() ? "yes" : "no") + " | "
                        + code.httpStatus() + " ")
                .toList();
        List<String> rows = tableRows("result-codes.md", "| ", 5);
        assertThat(rows.subList(1, rows.size()))
                .containsExactlyElementsIn(expected)
                .inOrder();
    }

    /** Guards against a table without a key of the settings tree, or with other accepted values. */
    @Test
    void keysMatchTheEnum() throws IOException {
        List<String> expected = Arrays.stream(SettingsKey.values())
                .map(key -> "| `" + key.settingName() + "` | " + key.accepts() + " ")
                .toList();
        assertThat(tableRows("settings.md", "| `", 2).subList(0, expected.size()))
                .containsExactlyElementsIn(expected)
                .inOrder();
    }
}
