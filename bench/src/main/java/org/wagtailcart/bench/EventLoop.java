package org.wagtailcart.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Discrete-event scheduler with a virtual clock; events at the same time run in the order they were scheduled. */
final class EventLoop {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::sequence));
    private double nowMillis;
    private long nextSequence;

    double now() {
        return nowMillis;
    }

    long nowMillis() {
        return (long) nowMillis;
    }

    /** Schedules an action; a negative delay counts as none. */
    void after(double delayMillis, Runnable action) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), nextSequence++, action));
    }

    /** Runs an action after an initial delay and then at fixed intervals until the end of the run. */
    void every(double firstMillis, double intervalMillis, Runnable action) {
        after(firstMillis, () -> {
            action.run();
            every(intervalMillis, intervalMillis, action);
        });
    }

    /** Runs all events up to the given time and sets the clock to it. */
    void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    private record Event(double atMillis, long sequence, Runnable action) {}
}
