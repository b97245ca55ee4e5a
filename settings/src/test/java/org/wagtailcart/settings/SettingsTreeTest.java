package org.wagtailcart.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Guards the inheritance, validation and INI form of the settings tree. */
class SettingsTreeTest {
    private static final SettingsTree TREE = SettingsTree.EMPTY.withEdits(
            1,
            List.of(
                    SettingsEdit.set("/", "deadline-millis", "1"),
                    SettingsEdit.set("/engines", "deadline-millis", "2"),
                    SettingsEdit.set("/engines/assistant/fes-1", "deadline-millis", "3"),
                    SettingsEdit.set("/engines/assistant", "queue-limit", "7"),
                    SettingsEdit.set("/engines-2", "queue-limit", "8")));

    /** Guards against a value inherited from the wrong branch, such as one whose path has the same prefix. */
    @ParameterizedTest
    @CsvSource({
        "/, deadline-millis, 1, /",
        "/engines, deadline-millis, 2, /engines",
        "/engines/assistant, deadline-millis, 2, /engines",
        "/engines/assistant/fes-1, deadline-millis, 3, /engines/assistant/fes-1",
        "/engines/assistant/fes-2, deadline-millis, 2, /engines",
        "/engines-2, deadline-millis, 1, /",
        "/engines/assistant/fes-1, queue-limit, 7, /engines/assistant",
        "/engines, queue-limit, , ",
        "/engines-2/a, queue-limit, 8, /engines-2",
    })
    void inheritsFromNearestParent(String branch, String key, String value, String origin) {
        assertThat(TREE.effectiveValue(branch, key).orElse(null)).isEqualTo(value);
        assertThat(TREE.originBranch(branch, key).orElse(null)).isEqualTo(origin);
    }

    /** Guards against an edit that also changes another branch whose path has the same prefix. */
    @Test
    void removeKeepsBranchesWithSamePrefix() {
        SettingsTree tree = TREE.withEdits(2, List.of(SettingsEdit.remove("/engines")));
        assertThat(tree.branches()).containsExactly("/", "/engines-2");
        assertThat(TREE.branches()).hasSize(5);
    }

    /** Guards against invalid input that is accepted, or an error without the branch, key, value or accepted values. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            /a      | nope                | 1            | 4002 | branch /a: key "nope" is unknown; accepted keys are kind
            /a      | kind                | robot        | 4003 | branch /a: key "kind" has the value "robot"; accepted is one of engine, service
            /a      | address             | host:80      | 4003 | "host:80"; accepted is IP:PORT
            /a      | address             | 1.2.3.400:80 | 4003 | IP:PORT
            /a      | sidecar-address     | 1.2.3.4      | 4003 | IP:PORT
            /a      | sidecar-address     | 1.2.3.4:0    | 4003 | IP:PORT
            /a      | sidecar             | a b          | 4003 | letters
            /a      | model               | ''           | 4003 | 1 to 200 printable characters
            /a      | role                | both         | 4003 | one of prefill, decode, mixed
            /a      | role-changes        | on           | 4003 | one of auto, fixed
            /a      | fencing             | yes          | 4003 | one of checked, ignored
            /a      | max-in-flight       | 0            | 4003 | from 1 to 4096
            /a      | max-in-flight       | 4097         | 4003 | from 1 to 4096
            /a      | soft-max-in-flight  | 01           | 4003 | from 1 to 4096
            /a      | queue-limit         | 100001       | 4003 | from 0 to 100000
            /a      | drain-limit-millis  | 1.5          | 4003 | from 0 to 3600000
            /a      | deadline-millis     | 99999999999  | 4003 | from 1 to 3600000
            /a      | deadline-millis     | ١            | 4003 | from 1 to 3600000
            /a      | priority            | urgent       | 4003 | one of batch, normal, interactive
            /a      | requests-per-second | -1           | 4003 | from 0 to 1000000
            /a      | non-idempotent      | POST         | 4003 | METHOD /path-prefix
            /a      | non-idempotent      | post /a      | 4003 | METHOD /path-prefix
            /a      | goodput-weight      | 1001         | 4003 | from 0 to 1000
            a       | model               | m            | 4003 | branch "a" is not a path
            /a/     | model               | m            | 4003 | is not a path
            //a     | model               | m            | 4003 | is not a path
            /a b    | model               | m            | 4003 | is not a path
            /../x y | model               | m            | 4003 | is not a path
            """)
    void rejectsInvalidEdits(String branch, String key, String value, int code, String message) {
        List<SettingsEdit> edits = List.of(SettingsEdit.set(branch, key, value));
        WagtailcartException refused = assertThrows(
                WagtailcartException.class,
                () -> SettingsState.validate(SettingsTree.EMPTY, edits, EngineStatusSource.ALL_ACTIVE));
        assertThat(refused.code().number()).isEqualTo(code);
        assertThat(refused).hasMessageThat().contains(message);
    }

    /** Guards against a valid value that is rejected. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            kind | engine
            address | [::1]:80
            adapter | ''
            model | a model; with # signs
            max-in-flight | 4096
            requests-per-second | 0
            non-idempotent | ''
            non-idempotent | POST /bookings, DELETE /bookings/x-y_z~1
            """)
    void acceptsValidValues(String key, String value) {
        SettingsTree tree = SettingsTree.EMPTY.withEdits(1, List.of(SettingsEdit.set("/a", key, value)));
        assertThat(tree.effectiveValue("/a", key)).hasValue(value);
    }

    /** Guards against an exported INI file that does not parse to the tree it was written from. */
    @Property(tries = 500, seed = "7")
    void iniRoundTrip(@ForAll("texts") String model, @ForAll("texts") String version) {
        SettingsTree tree = SettingsTree.EMPTY.withEdits(
                1,
                List.of(
                        SettingsEdit.set("/a/b.c", "model", model),
                        SettingsEdit.set("/a", "version", version),
                        SettingsEdit.create("/workspaces/w")));
        String ini = SettingsIni.export(tree, "/");
        SettingsTree read = SettingsTree.EMPTY.withEdits(1, SettingsIni.toEdits(SettingsTree.EMPTY, ini, false));
        assertThat(read.toEdits()).containsExactlyElementsIn(tree.toEdits());
        assertThat(SettingsIni.toEdits(tree, ini, true)).isEmpty();
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.strings()
                .withCharRange(' ', '~')
                .ofMinLength(1)
                .ofMaxLength(20)
                .filter(SettingsKey.MODEL::accepts);
    }

    /** Guards against a replacing import that keeps branches and keys missing from the file. */
    @Test
    void replaceRemovesEntriesMissingFromFile() {
        String ini = "[/engines/assistant]\nqueue-limit = 9\n";
        SettingsTree tree = TREE.withEdits(2, SettingsIni.toEdits(TREE, ini, true));
        assertThat(SettingsIni.export(tree, "/engines/assistant"))
                .isEqualTo("[/engines/assistant]\nqueue-limit = 9\n\n");
        assertThat(tree.effectiveValue("/engines/assistant", "deadline-millis")).isEmpty();
        assertThat(tree.exists("/engines-2")).isFalse();
    }

    /** Guards against a file that is accepted although it does not describe a tree. */
    @ParameterizedTest
    @CsvSource({"[a]\\nb = 1, section [a] is not a branch", "a = 1, stands outside a section"})
    void rejectsMalformedFiles(String text, String message) {
        WagtailcartException refused = assertThrows(
                WagtailcartException.class,
                () -> SettingsIni.toEdits(SettingsTree.EMPTY, text.replace("\\n", "\n"), false));
        assertThat(refused.code()).isEqualTo(ResultCode.INVALID_SETTINGS_FILE);
        assertThat(refused).hasMessageThat().contains(message);
    }
}
