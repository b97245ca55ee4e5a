package org.wagtailcart.entry.admission;

/** Budget that limits retries to a share of the requests. Thread safe. */
public interface RetryBudget {
    /** Records the first attempt of a request. */
    void onRequest();

    /** Returns whether one retry may be made now, and if so deducts it from the budget. */
    boolean tryRetry();
}
