package org.wagtailcart.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Streams of the program: results go to the standard output, everything else to the error stream. */
public final class Console {
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    /** Creates a console over two streams, without input. */
    public Console(PrintStream out, PrintStream err) {
        this(InputStream.nullInputStream(), out, err);
    }

    /** Creates a console over three streams. */
    public Console(InputStream in, PrintStream out, PrintStream err) {
        this.in = in;
        this.out = out;
        this.err = err;
    }

    /** Returns the console of the process. */
    @SuppressWarnings("SystemOut") // a command-line program writes its results to the standard output
    public static Console standard() {
        return new Console(System.in, System.out, System.err);
    }

    /** Returns the standard input up to its end, at most the given number of bytes, one character for each byte. */
    String input(int maxBytes) {
        try {
            return new String(in.readNBytes(maxBytes), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            throw new CliException(ExitCode.INVALID_FILE, "standard input cannot be read: " + e.getMessage());
        }
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
