package org.wagtailcart.entry.admission;

import java.util.Map;
import java.util.Optional;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;

/**
 * Admission policy of the request queues: decides which requests may be queued for an upstream and which priority is
 * dequeued next. Not thread safe; the caller serialises the calls.
 */
public interface AdmissionController {
    /**
     * Decides whether a request for which no upstream has capacity may be queued.
     *
     * @param queued number of queued requests of the pool by priority
     * @param queueLimit maximum number of queued requests of the pool at that priority
     * @return the code of the rejection, or empty when the request may be queued
     */
    Optional<ResultCode> rejectionOf(
            String pool,
            Priority priority,
            Map<Priority, Integer> queued,
            int queueLimit,
            long deadlineMillis,
            long nowMillis);

    /** Returns the priority whose oldest request is dequeued next; at least one priority has queued requests. */
    Priority nextPriority(String pool, Map<Priority, Integer> queued);

    /** Records that an upstream of the pool finished a request. */
    void onFinished(String pool, long nowMillis);
}
