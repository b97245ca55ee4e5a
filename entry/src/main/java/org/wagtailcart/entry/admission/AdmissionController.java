package org.wagtailcart.entry.admission;

import java.util.Map;
import java.util.Optional;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;

/** Decides which requests may wait for an upstream and which of them goes next. Calls are serialised by the caller. */
public interface AdmissionController {
    /**
     * Decides on a request for which no upstream has room now.
     *
     * @param waiting requests of the pool that wait, by priority
     * @param queueLimit requests that may wait for the pool at that priority
     * @return the code of an early refusal, or empty when it may wait
     */
    Optional<ResultCode> rejectionOf(
            String pool,
            Priority priority,
            Map<Priority, Integer> waiting,
            int queueLimit,
            long deadlineMillis,
            long nowMillis);

    /** Returns the priority whose oldest request goes next; at least one priority has waiting requests. */
    Priority nextPriority(String pool, Map<Priority, Integer> waiting);

    /** Notes that an upstream of the pool finished a request. */
    void onFinished(String pool, long nowMillis);
}
