package org.wagtailcart.usage;

/**
 * Successive windows.
 *
 * @param first number of the first window
 * @param last number of the last window
 */
public record WindowRange(long first, long last) {
    boolean contains(long window) {
        return first <= window && window <= last;
    }

    /** Returns the number of windows between this range and a later one, at most 0 if they touch or overlap. */
    long gapTo(WindowRange later) {
        return later.first - last - 1;
    }

    /** Returns the smallest range with both. */
    WindowRange span(WindowRange other) {
        return new WindowRange(Math.min(first, other.first), Math.max(last, other.last));
    }
}
