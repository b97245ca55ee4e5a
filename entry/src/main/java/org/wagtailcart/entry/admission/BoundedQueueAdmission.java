package org.wagtailcart.entry.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;

/**
 * Admission policy with bounded queues and early rejection: a request is rejected at once when, at the measured
 * completion rate of its pool, it would be dequeued after its deadline. Every sixteenth dequeue takes the lowest queued
 * priority, so that batch requests are not starved.
 */
public final class BoundedQueueAdmission implements AdmissionController {
    private static final int LOWEST_PRIORITY_INTERVAL = 16;
    private static final double EWMA_WEIGHT = 0.1;

    private final Map<String, CompletionRateEstimate> estimates = new HashMap<>();

    /** Moving average of the time between finished requests of a pool. */
    private static final class CompletionRateEstimate {
        private long lastFinishedMillis = -1;
        private double meanIntervalMillis;
        private int dequeues;

        void recordFinished(long nowMillis) {
            if (lastFinishedMillis >= 0) {
                double interval = nowMillis - lastFinishedMillis;
                meanIntervalMillis = meanIntervalMillis == 0
                        ? interval
                        : meanIntervalMillis + EWMA_WEIGHT * (interval - meanIntervalMillis);
            }
            lastFinishedMillis = nowMillis;
        }
    }

    @Override
    public Optional<ResultCode> rejectionOf(
            String pool,
            Priority priority,
            Map<Priority, Integer> queued,
            int queueLimit,
            long deadlineMillis,
            long nowMillis) {
        if (queued.getOrDefault(priority, 0) >= queueLimit) {
            return Optional.of(ResultCode.QUEUE_FULL);
        }
        int ahead = queued.entrySet().stream()
                .filter(entry -> entry.getKey().rank() >= priority.rank())
                .mapToInt(Map.Entry::getValue)
                .sum();
        double waitMillis = (ahead + 1) * estimateOf(pool).meanIntervalMillis;
        return ahead > 0 && nowMillis + waitMillis > deadlineMillis
                ? Optional.of(ResultCode.DEADLINE_UNREACHABLE)
                : Optional.empty();
    }

    @Override
    public Priority nextPriority(String pool, Map<Priority, Integer> queued) {
        Comparator<Priority> byRank = Comparator.comparingInt(Priority::rank);
        boolean lowestFirst = ++estimateOf(pool).dequeues % LOWEST_PRIORITY_INTERVAL == 0;
        return queued.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(Map.Entry::getKey)
                .max(lowestFirst ? byRank.reversed() : byRank)
                .orElseThrow();
    }

    @Override
    public void onFinished(String pool, long nowMillis) {
        estimateOf(pool).recordFinished(nowMillis);
    }

    private CompletionRateEstimate estimateOf(String pool) {
        return estimates.computeIfAbsent(pool, name -> new CompletionRateEstimate());
    }
}
