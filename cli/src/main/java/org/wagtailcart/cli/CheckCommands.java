package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.settings.EngineStatusSource;
import org.wagtailcart.settings.SettingsIni;
import org.wagtailcart.settings.SettingsState;
import org.wagtailcart.settings.SettingsTree;
import org.wagtailcart.settings.process.ProcessSettings;

/** Commands that work on local files, without a server. */
final class CheckCommands {
    private CheckCommands() {}

    static List<CliCommand> all() {
        return List.of(
                new CheckSettingsCommand(), new CheckTreeCommand(), new ExplainCommand(), new KeyDigestCommand());
    }

    private static ExitCode check(CommandContext context, String file, Function<String, String> check) {
        String text = new String(CommandContext.readFile(file), StandardCharsets.UTF_8);
        try {
            context.console().result(check.apply(text));
            return ExitCode.OK;
        } catch (WagtailcartException e) {
            throw new CliException(
                    ExitCode.INVALID_FILE, file + ": code " + e.code().number() + ": " + e.getMessage());
        }
    }

    @Parameters(commandDescription = "Checks the settings file of a process")
    private static final class CheckSettingsCommand extends CliCommand {
        @Parameter(description = "FILE", required = true)
        private String file = "";

        @Override
        String name() {
            return "check-settings";
        }

        @Override
        ExitCode run(CommandContext context) {
            return check(context, file, text -> {
                ProcessSettings settings = ProcessSettings.parse(text);
                return "valid: process " + settings.id() + " with roles " + settings.roles();
            });
        }
    }

    @Parameters(commandDescription = "Checks an INI file of the settings tree, without the tree in force")
    private static final class CheckTreeCommand extends CliCommand {
        @Parameter(description = "FILE", required = true)
        private String file = "";

        @Override
        String name() {
            return "check-tree";
        }

        @Override
        ExitCode run(CommandContext context) {
            return check(context, file, text -> {
                SettingsTree tree = SettingsState.validate(
                        SettingsTree.EMPTY,
                        SettingsIni.toEdits(SettingsTree.EMPTY, text, true),
                        EngineStatusSource.ALL_ACTIVE);
                return "valid: " + tree.branches().size() + " branches, "
                        + tree.upstreams().size() + " upstreams";
            });
        }
    }
}
