package org.wagtailcart.common;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Threads that do not keep a process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** Returns a factory whose threads all have the same name. */
    public static ThreadFactory named(String name) {
        return task -> create(task, name);
    }

    /** Returns a factory that numbers its threads. */
    public static ThreadFactory numbered(String prefix) {
        AtomicInteger number = new AtomicInteger();
        return task -> create(task, prefix + number.incrementAndGet());
    }

    private static Thread create(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
