package org.wagtailcart.standin;

/** Standard output and standard error of the program. */
final class Console {
    private Console() {}

    static void line(String text) {
        System.out.println(text);
    }

    static void error(String text) {
        System.err.println(text);
    }
}
