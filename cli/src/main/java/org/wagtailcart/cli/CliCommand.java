package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import java.util.List;

/** A sub-command. */
abstract class CliCommand {
    @Parameter(names = "--help", help = true, description = "Shows the arguments of this command")
    private boolean helpRequested;

    boolean helpRequested() {
        return helpRequested;
    }

    /** Returns the names on the command line, the first one for the usage text. */
    abstract String name();

    abstract ExitCode run(CommandContext session);

    /**
     * Checks the number of arguments.
     *
     * @throws CliException with {@link ExitCode#USAGE} when it is another one
     */
    void checkArgumentCount(List<String> arguments, int count) {
        if (arguments.size() != count) {
            throw new CliException(ExitCode.USAGE, name() + " needs " + count + " arguments, not " + arguments.size());
        }
    }
}
