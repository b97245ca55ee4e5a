package org.wagtailcart.policy.health;

import java.util.BitSet;

/** The newest outcomes of an upstream. */
final class OutcomeWindow {
    private final HealthOptions options;
    private final BitSet failed = new BitSet();
    private int next;
    private int seen;
    private int failuresInRow;

    OutcomeWindow(HealthOptions options) {
        this.options = options;
    }

    void add(boolean success) {
        failed.set(next, !success);
        next = (next + 1) % options.windowSize();
        seen++;
        failuresInRow = success ? 0 : failuresInRow + 1;
    }

    boolean bad() {
        boolean full = seen >= options.windowSize();
        boolean overShare = full && failed.cardinality() >= options.failureShare() * options.windowSize();
        return overShare || failuresInRow >= options.consecutiveFailures();
    }

    void clear() {
        failed.clear();
        next = 0;
        seen = 0;
        failuresInRow = 0;
    }
}
