package org.wagtailcart.cli;

import java.io.PrintStream;

/** Output of the program: results go to the standard output, everything else to the error stream. */
public final class Console {
    private final PrintStream out;
    private final PrintStream err;

    /** Creates a console over two streams. */
    public Console(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Returns the console of the process. */
    @SuppressWarnings("SystemOut") // a command-line program writes its results to the standard output
    public static Console standard() {
        return new Console(System.out, System.err);
    }

    void result(String text) {
        out.println(text.stripTrailing());
        out.flush();
    }

    void error(String text) {
        err.println(text);
        err.flush();
    }
}
