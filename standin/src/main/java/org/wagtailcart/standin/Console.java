package org.wagtailcart.standin;

/** Output of the command line. */
final class Console {
    private Console() {}

    static void line(String text) {
        System.out.println(text);
    }

    static void error(String text) {
        System.err.println(text);
    }
}
