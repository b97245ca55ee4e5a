package org.wagtailcart.common;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Factories of daemon threads, which do not keep the JVM running. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** Returns a factory whose threads all have the same name. */
    public static ThreadFactory named(String name) {
        return task -> create(task, name);
    }

    /** Returns a factory whose threads are named by the prefix and a sequence number from 1. */
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
