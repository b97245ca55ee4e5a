package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;

/** A sub-command. */
abstract class CliCommand {
    @Parameter(names = "--help", help = true, description = "Shows the arguments of this command")
    private boolean help;

    boolean help() {
        return help;
    }

    /** Returns the names on the command line, the first one for the usage text. */
    abstract String name();

    abstract ExitCode run(Session session);
}
