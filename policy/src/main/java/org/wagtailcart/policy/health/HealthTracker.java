package org.wagtailcart.policy.health;

/** Health state of one upstream, derived from the outcomes of this entry's requests. Not thread safe. */
public interface HealthTracker {
    /** Records the outcome of a request. */
    void onOutcome(boolean success, long nowMillis);

    /** Returns the time from which the upstream may get requests; at most {@code nowMillis} when it may get one now. */
    long availableFromMillis(long nowMillis);
}
