package org.wagtailcart.gateway.report;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates when a replica began to work on a call. A call that took little longer than the shortest recent one did not
 * wait; a longer one waited in the queue of the replica for the time beyond a typical call. Thread safe.
 */
final class ServiceTimes {
    /** Time for which a shortest time counts; replicas change their speed within seconds. */
    private static final long PERIOD_MILLIS = 10_000;
    /** Replicas need 60 to 86 ms for a call that does not wait, which is a factor of 1.43. */
    private static final double MAX_VARIATION = 1.5;

    private static final double TYPICAL_WEIGHT = 0.1;
    /** Limit on the replicas, which are replaced over time. */
    private static final int MAX_UPSTREAMS = 1_000;

    /**
     * Recent times from a send to the response of one replica.
     *
     * @param currentMillis shortest time of the current period
     * @param previousMillis shortest time of the period before
     * @param typicalMillis weighted mean of the calls that did not wait
     */
    private record Times(long periodEndsAtMillis, long currentMillis, long previousMillis, double typicalMillis) {
        static Times first(long elapsedMillis, long nowMillis) {
            return new Times(nowMillis + PERIOD_MILLIS, elapsedMillis, elapsedMillis, elapsedMillis);
        }

        Times with(long elapsedMillis, long nowMillis) {
            return shortestWith(elapsedMillis, nowMillis).typicalWith(elapsedMillis);
        }

        private Times shortestWith(long elapsedMillis, long nowMillis) {
            if (nowMillis < periodEndsAtMillis) {
                return new Times(
                        periodEndsAtMillis, Math.min(currentMillis, elapsedMillis), previousMillis, typicalMillis);
            }
            boolean recent = nowMillis < periodEndsAtMillis + PERIOD_MILLIS;
            return new Times(
                    nowMillis + PERIOD_MILLIS, elapsedMillis, recent ? currentMillis : elapsedMillis, typicalMillis);
        }

        private Times typicalWith(long elapsedMillis) {
            if (waited(elapsedMillis)) {
                return this;
            }
            // A mean from slower or faster times than the replica has now is replaced at once.
            double before = waited(Math.round(typicalMillis)) ? elapsedMillis : typicalMillis;
            double typical = before + TYPICAL_WEIGHT * (elapsedMillis - before);
            return new Times(periodEndsAtMillis, currentMillis, previousMillis, typical);
        }

        boolean waited(long elapsedMillis) {
            return elapsedMillis > MAX_VARIATION * Math.min(currentMillis, previousMillis);
        }
    }

    private final Map<String, Times> timesByUpstream = new ConcurrentHashMap<>();

    /** Returns the monotonic time at which the replica began to work on a call with a response. */
    long beganAtMillis(String upstreamId, long sentAtMillis, long respondedAtMillis) {
        if (timesByUpstream.size() >= MAX_UPSTREAMS) {
            timesByUpstream.clear();
        }
        long elapsedMillis = respondedAtMillis - sentAtMillis;
        Times times = timesByUpstream.compute(
                upstreamId,
                (id, before) -> before == null
                        ? Times.first(elapsedMillis, respondedAtMillis)
                        : before.with(elapsedMillis, respondedAtMillis));
        return times.waited(elapsedMillis)
                ? Math.max(sentAtMillis, respondedAtMillis - Math.round(times.typicalMillis()))
                : sentAtMillis;
    }
}
