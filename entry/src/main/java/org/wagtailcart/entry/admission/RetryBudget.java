package org.wagtailcart.entry.admission;

/** Limits retries to a share of the traffic. Thread safe. */
public interface RetryBudget {
    /** Notes a first attempt. */
    void onRequest();

    /** Returns whether one retry may be made now, and accounts for it. */
    boolean tryRetry();
}
