package org.wagtailcart.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.settings.SettingsKey;
import org.wagtailcart.workspace.KeyDigest;

/** Guards against a digest that no entry matches, and a key that the command writes. */
class KeyDigestCommandTest {
    private static final String KEY = "26tta828m82thhkmgjqn";
    private static final String SALT = "AAECAwQFBgcICQoLDA0ODw";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String input, String... arguments) {
        return new Wagtailcart(new Console(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true),
                        new PrintStream(err, true)))
                .run(arguments);
    }

    @ParameterizedTest
    @ValueSource(strings = {KEY, KEY + "\n", KEY + "\r\n"})
    void digestsTheKeyWithTheGivenSalt(String input) {
        assertThat(run(input, "key-digest", "--salt", SALT)).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).lines().toList())
                .containsExactly("key-salt = " + SALT, "key-digests = " + KeyDigest.of(KeyDigest.parseSalt(SALT), KEY))
                .inOrder();
    }

    /** Guards against a new salt or a digest that the settings tree does not accept. */
    @Test
    void makesASaltThatTheTreeAccepts() {
        assertThat(run(KEY, "key-digest")).isEqualTo(ExitCode.OK);
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\n", -1);
        assertThat(SettingsKey.KEY_SALT.accepts(lines[0].substring("key-salt = ".length())))
                .isTrue();
        assertThat(SettingsKey.KEY_DIGESTS.accepts(lines[1].substring("key-digests = ".length())))
                .isTrue();
        assertThat(out.toString(StandardCharsets.UTF_8)).doesNotContain(KEY);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\n", KEY + " x", KEY + "\n\n", KEY + "\u00e9"})
    void refusesWhatNoRequestCanCarry(String input) {
        assertThat(run(input, "key-digest")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).doesNotContain(KEY);
        assertThat(out.toString(StandardCharsets.UTF_8)).isEmpty();
    }

    @Test
    void refusesOverLongKeysWrongSaltsAndKeysAmongTheArguments() {
        assertThat(run("k".repeat(600), "key-digest")).isEqualTo(ExitCode.USAGE);
        assertThat(run(KEY, "key-digest", "--salt", "short")).isEqualTo(ExitCode.USAGE);
        assertThat(run("", "key-digest", KEY)).isEqualTo(ExitCode.USAGE);
    }
}
