package org.wagtailcart.common;

/** Source of the current time in milliseconds. Decision logic never holds one; shells pass the time in. */
@FunctionalInterface
public interface MillisClock {
    /** Returns the current time in milliseconds. */
    long nowMillis();

    /** Returns a clock that never goes back and does not count from a known date; for deadlines within a process. */
    static MillisClock monotonic() {
        return () -> System.nanoTime() / 1_000_000;
    }

    /** Returns the wall clock, in milliseconds since 1970. */
    static MillisClock wall() {
        return System::currentTimeMillis;
    }
}
