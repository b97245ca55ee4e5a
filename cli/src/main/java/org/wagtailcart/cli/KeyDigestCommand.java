package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.wagtailcart.settings.SettingsKey;
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.KeyVerdict;
import org.wagtailcart.workspace.PresentedKey;

/**
 * The {@code key-digest} command: makes the digest of an API key for the settings tree. The key is read from the
 * standard input, because arguments are visible to other users of the host and stay in the history of the shell.
 */
@Parameters(commandDescription = "Makes the digest of the API key on the standard input, for the settings tree")
final class KeyDigestCommand extends CliCommand {
    /** Room for the line end after the longest key, and one byte more by which a longer key is noticed. */
    private static final int MAX_INPUT_BYTES = PresentedKey.MAX_LENGTH + 3;

    @Parameter(names = "--salt", description = "Value of key-salt on the branch /workspaces; without it, a new one")
    private String salt = "";

    @Override
    String name() {
        return "key-digest";
    }

    @Override
    ExitCode run(CommandContext context) {
        if (!salt.isEmpty() && !SettingsKey.KEY_SALT.accepts(salt)) {
            throw new CliException(ExitCode.USAGE, "--salt accepts " + SettingsKey.KEY_SALT.accepts());
        }
        String key = context.console().input(MAX_INPUT_BYTES).replaceFirst("\\r?\\n$", "");
        KeyVerdict fault = PresentedKey.of(key).fault();
        if (fault != KeyVerdict.ACCEPTED) {
            throw new CliException(ExitCode.USAGE, "standard input: " + fault.text());
        }
        String usedSalt = salt.isEmpty() ? KeyDigest.formatSalt(KeyDigest.newSalt()) : salt;
        context.console()
                .result("key-salt = " + usedSalt + "\nkey-digests = "
                        + KeyDigest.of(KeyDigest.parseSalt(usedSalt), key));
        return ExitCode.OK;
    }
}
