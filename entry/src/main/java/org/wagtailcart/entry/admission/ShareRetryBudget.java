package org.wagtailcart.entry.admission;

import java.util.concurrent.atomic.AtomicInteger;

/** One retry for every ten requests, with a small reserve for quiet times. */
public final class ShareRetryBudget implements RetryBudget {
    private static final int COST = 10;
    private static final int MAX_CREDIT = 1_000;
    private static final int INITIAL_CREDIT = 100;

    private final AtomicInteger credit = new AtomicInteger(INITIAL_CREDIT);

    @Override
    public void onRequest() {
        credit.updateAndGet(value -> Math.min(MAX_CREDIT, value + 1));
    }

    @Override
    public boolean tryRetry() {
        return credit.getAndUpdate(value -> value >= COST ? value - COST : value) >= COST;
    }
}
