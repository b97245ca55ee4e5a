package org.wagtailcart.cli;

/** Exit codes of the program; {@code docs/operators.md} holds the table. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The request was refused; nothing was changed. */
    REFUSED(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The revision was not in force in every serving process within the time limit. */
    NOT_IN_FORCE(3),
    /** No server could be reached; nothing was changed. */
    UNREACHABLE(4),
    /** The change may have been made; repeat the command with the same change id. */
    UNKNOWN_OUTCOME(5),
    /** A file cannot be read or is invalid. */
    INVALID_FILE(6);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit status of the process. */
    public int number() {
        return number;
    }
}
