package org.wagtailcart.policy.health;

/** Health of one upstream as this entry sees it. Not thread safe. */
public interface HealthTracker {
    /** Notes the end of a request. */
    void onOutcome(boolean success, long nowMillis);

    /** Returns the time from which the upstream may get requests; at most now when it may get one now. */
    long availableFromMillis(long nowMillis);
}
