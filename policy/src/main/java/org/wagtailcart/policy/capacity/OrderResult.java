package org.wagtailcart.policy.capacity;

/** Result of an order for a number of replicas. */
public enum OrderResult {
    /** The platform accepted the order. */
    ACCEPTED(0, 0),
    /** The platform has seen a higher fencing token; the holder must acquire the lease again. */
    FENCED(500, 3_000),
    /** The platform got too many calls from all hosts; the limit applies to each second. */
    THROTTLED(1_000, 4_000),
    /** The platform refused the order for another reason; a repetition rarely helps. */
    REFUSED(5_000, 60_000),
    /** No response, so that the order may still be carried out, also after newer ones. */
    UNKNOWN(250, 4_000),
    /** The order was not sent, because the holder lost its lease or was delayed before the call. */
    NOT_SENT(100, 1_000);

    private final long firstDelayMillis;
    private final long maxDelayMillis;

    OrderResult(long firstDelayMillis, long maxDelayMillis) {
        this.firstDelayMillis = firstDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
    }

    /** Returns the time until the next call, which doubles with each failure in a row up to a limit. */
    long delayMillis(int failures) {
        return Math.min(maxDelayMillis, firstDelayMillis << Math.min(Math.max(failures - 1, 0), 10));
    }

    /** Returns whether the platform carries out the order or may do so. */
    boolean mayHaveRun() {
        return this == ACCEPTED || this == UNKNOWN;
    }
}
