package org.wagtailcart.cli;

/** Exit codes of the program; {@code docs/operators.md} holds the table. */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** Refused; nothing was changed. */
    REFUSED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The revision is not in force everywhere within the limit. */
    NOT_IN_FORCE(3),
    /** No server could be reached; nothing was changed. */
    UNREACHABLE(4),
    /** The change may have been made; repeat the command with the same change id. */
    UNKNOWN_OUTCOME(5),
    /** A file cannot be read or does not pass its check. */
    INVALID_FILE(6);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the number for the shell. */
    public int number() {
        return number;
    }
}
