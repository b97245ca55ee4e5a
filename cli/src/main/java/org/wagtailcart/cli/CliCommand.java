package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import java.util.List;

/** A sub-command of the command line with its parameters and action. */
abstract class CliCommand {
    @Parameter(names = "--help", help = true, description = "Shows the arguments of this command")
    private boolean helpRequested;

    boolean helpRequested() {
        return helpRequested;
    }

    /** Returns the name of the command on the command line. */
    abstract String name();

    abstract ExitCode run(CommandContext context);

    /**
     * Checks the number of arguments.
     *
     * @throws CliException with {@link ExitCode#USAGE} when the number differs from {@code count}
     */
    void checkArgumentCount(List<String> arguments, int count) {
        if (arguments.size() != count) {
            throw new CliException(ExitCode.USAGE, name() + " needs " + count + " arguments, not " + arguments.size());
        }
    }
}
