package org.wagtailcart.coordination;

import java.util.concurrent.ThreadFactory;

/** Threads that do not keep a process alive. */
final class Threads {
    private Threads() {}

    static ThreadFactory named(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
