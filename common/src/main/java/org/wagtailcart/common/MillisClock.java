package org.wagtailcart.common;

/** Source of the current time in milliseconds. Decision logic holds no clock; its callers pass the time in. */
@FunctionalInterface
public interface MillisClock {
    /** Returns the current time in milliseconds. */
    long nowMillis();

    /** Returns a monotonic clock with an arbitrary origin, for deadlines and intervals within a process. */
    static MillisClock monotonic() {
        return () -> System.nanoTime() / 1_000_000;
    }

    /** Returns the wall clock, in milliseconds since the Unix epoch. */
    static MillisClock wall() {
        return System::currentTimeMillis;
    }
}
