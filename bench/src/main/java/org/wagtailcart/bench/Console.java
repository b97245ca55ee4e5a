package org.wagtailcart.bench;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Standard output and standard error of the program, in UTF-8. */
final class Console {
    private static final PrintStream OUT =
            new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
    private static final PrintStream ERROR =
            new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);

    private Console() {}

    static void print(String text) {
        OUT.println(text);
    }

    static void error(String text) {
        ERROR.println(text);
    }
}
