package org.wagtailcart.gateway.report;

import java.util.Optional;
import org.wagtailcart.usage.UsageBatch;

/** Counts of requests that began to run, as exchanged with the control group. */
public interface UsageReports {
    /** Counts nothing. */
    UsageReports NONE = new UsageReports() {
        @Override
        public Optional<UsageBatch> nextBatch() {
            return Optional.empty();
        }

        @Override
        public void applyReply(long trueTimeMillis, long acknowledged, long receivedAtMillis) {}
    };

    /** Returns the counts for the next poll, empty if there are none to send. */
    Optional<UsageBatch> nextBatch();

    /**
     * Applies the reply to a poll.
     *
     * @param trueTimeMillis estimate of the true time of the member, 0 for none
     * @param acknowledged number of the last batch up to which the member has all counts, 0 for none
     * @param receivedAtMillis monotonic time at which the reply arrived
     */
    void applyReply(long trueTimeMillis, long acknowledged, long receivedAtMillis);
}
