package org.wagtailcart.entry.admission;

/**
 * Thread-safe retry budget that allows a ratio of the requests to be retried, with a reserve for periods of low
 * traffic.
 */
public final class RatioRetryBudget implements RetryBudget {
    private static final int MAX_BALANCE = 100;
    private static final int INITIAL_BALANCE = 10;

    private final org.wagtailcart.policy.retry.RetryBudget budget = new org.wagtailcart.policy.retry.RetryBudget(
            org.wagtailcart.policy.retry.RetryBudget.DEFAULT_RATIO, MAX_BALANCE, INITIAL_BALANCE);

    @Override
    public synchronized void onRequest() {
        budget.onFirstAttempt();
    }

    @Override
    public synchronized boolean tryRetry() {
        return budget.tryAcquire();
    }
}
