package org.wagtailcart.usage;

/** Outcome of the report of a window. */
public enum UsageReportOutcome {
    /** The platform accepted the report. */
    ACCEPTED(0, 0),
    /** The platform has seen a higher fencing token; the holder must acquire the lease again. */
    FENCED(500, 3_000),
    /** The platform got too many calls from all hosts; the limit applies to each second. */
    THROTTLED(1_000, 4_000),
    /** The platform refused the report for another reason; a repetition rarely helps. */
    REFUSED(1_000, 5_000),
    /** No response, so that the report may still be accepted; an exact repetition is harmless. */
    UNKNOWN(250, 2_000),
    /** The report was not sent, because the holder lost its lease or was delayed before the call. */
    NOT_SENT(100, 1_000);

    private final long firstDelayMillis;
    private final long maxDelayMillis;

    UsageReportOutcome(long firstDelayMillis, long maxDelayMillis) {
        this.firstDelayMillis = firstDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
    }

    /** Returns the time until the next call, which doubles with each failure in a row up to a limit. */
    long delayMillis(int failures) {
        return Math.min(maxDelayMillis, firstDelayMillis << Math.min(Math.max(failures - 1, 0), 10));
    }

    /** Returns whether the report was accepted. */
    public boolean accepted() {
        return this == ACCEPTED;
    }
}
