package org.wagtailcart.policy.health;

import java.util.BitSet;

/** Sliding window over the latest outcomes of an upstream, with a count of consecutive failures. */
final class OutcomeWindow {
    private final HealthOptions options;
    private final BitSet failed = new BitSet();
    private int nextIndex;
    private int count;
    private int consecutiveFailures;

    OutcomeWindow(HealthOptions options) {
        this.options = options;
    }

    void add(boolean success) {
        failed.set(nextIndex, !success);
        nextIndex = (nextIndex + 1) % options.windowSize();
        count++;
        consecutiveFailures = success ? 0 : consecutiveFailures + 1;
    }

    boolean exceedsFailureLimits() {
        boolean full = count >= options.windowSize();
        boolean overRatio = full && failed.cardinality() >= options.failureRatio() * options.windowSize();
        return overRatio || consecutiveFailures >= options.consecutiveFailures();
    }

    void clear() {
        failed.clear();
        nextIndex = 0;
        count = 0;
        consecutiveFailures = 0;
    }
}
