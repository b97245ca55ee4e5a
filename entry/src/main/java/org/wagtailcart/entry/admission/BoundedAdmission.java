package org.wagtailcart.entry.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;

/**
 * Bounded queues with early refusal from the measured pace of each pool. Every sixteenth turn goes to the lowest waiting
 * priority, so that batches finish.
 */
public final class BoundedAdmission implements Admission {
    private static final int LOWEST_FIRST_EVERY = 16;
    private static final double WEIGHT_OF_LATEST = 0.1;

    private final Map<String, Pace> paces = new HashMap<>();

    /** Mean time between finished requests of a pool. */
    private static final class Pace {
        private long latestMillis = -1;
        private double intervalMillis;
        private int turns;

        void finished(long nowMillis) {
            if (latestMillis >= 0) {
                double interval = nowMillis - latestMillis;
                intervalMillis = intervalMillis == 0
                        ? interval
                        : intervalMillis + WEIGHT_OF_LATEST * (interval - intervalMillis);
            }
            latestMillis = nowMillis;
        }
    }

    @Override
    public Optional<ResultCode> mayWait(
            String pool,
            Priority priority,
            Map<Priority, Integer> waiting,
            int queueLimit,
            long deadlineMillis,
            long nowMillis) {
        if (waiting.getOrDefault(priority, 0) >= queueLimit) {
            return Optional.of(ResultCode.QUEUE_FULL);
        }
        int ahead = waiting.entrySet().stream()
                .filter(entry -> entry.getKey().rank() >= priority.rank())
                .mapToInt(Map.Entry::getValue)
                .sum();
        double waitMillis = (ahead + 1) * pace(pool).intervalMillis;
        return ahead > 0 && nowMillis + waitMillis > deadlineMillis
                ? Optional.of(ResultCode.DEADLINE_UNREACHABLE)
                : Optional.empty();
    }

    @Override
    public Priority next(String pool, Map<Priority, Integer> waiting) {
        Comparator<Priority> byRank = Comparator.comparingInt(Priority::rank);
        boolean lowestFirst = ++pace(pool).turns % LOWEST_FIRST_EVERY == 0;
        return waiting.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(Map.Entry::getKey)
                .max(lowestFirst ? byRank.reversed() : byRank)
                .orElseThrow();
    }

    @Override
    public void onFinished(String pool, long nowMillis) {
        pace(pool).finished(nowMillis);
    }

    private Pace pace(String pool) {
        return paces.computeIfAbsent(pool, name -> new Pace());
    }
}
