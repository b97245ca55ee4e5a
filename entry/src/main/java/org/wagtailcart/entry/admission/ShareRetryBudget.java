package org.wagtailcart.entry.admission;

/** The policy's retry budget for several threads, with a reserve for quiet times. */
public final class ShareRetryBudget implements RetryBudget {
    private static final int BURST = 100;
    private static final int INITIAL = 10;

    private final org.wagtailcart.policy.retry.RetryBudget budget = new org.wagtailcart.policy.retry.RetryBudget(
            org.wagtailcart.policy.retry.RetryBudget.DEFAULT_RATIO, BURST, INITIAL);

    @Override
    public synchronized void onRequest() {
        budget.onFirstAttempt();
    }

    @Override
    public synchronized boolean tryRetry() {
        return budget.tryAcquire();
    }
}
