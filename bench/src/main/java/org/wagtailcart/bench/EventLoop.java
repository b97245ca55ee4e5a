package org.wagtailcart.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: runs events in the order of their times, and of their scheduling where times are equal. */
final class EventLoop {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));
    private double nowMillis;
    private long scheduled;

    double now() {
        return nowMillis;
    }

    long nowMillis() {
        return (long) nowMillis;
    }

    void after(double delayMillis, Runnable action) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), scheduled++, action));
    }

    /** Runs an action at once and then at fixed intervals until the end. */
    void every(double firstMillis, double intervalMillis, Runnable action) {
        after(firstMillis, () -> {
            action.run();
            every(intervalMillis, intervalMillis, action);
        });
    }

    void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    private record Event(double atMillis, long number, Runnable action) {}
}
