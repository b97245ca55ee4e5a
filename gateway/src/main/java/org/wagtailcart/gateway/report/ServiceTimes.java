package org.wagtailcart.gateway.report;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates when a replica began to work on a call. The shortest recent time from a send to the response contains no
 * wait in the queue of the replica; a longer one is taken to have waited for the rest. Thread safe.
 */
final class ServiceTimes {
    /** Time for which a shortest time counts; replicas change their speed within seconds. */
    private static final long PERIOD_MILLIS = 10_000;
    /** Limit on the replicas, which are replaced over time. */
    private static final int MAX_UPSTREAMS = 1_000;

    /** Shortest times of the current period and the one before. */
    private record Shortest(long periodEndsAtMillis, long currentMillis, long previousMillis) {
        Shortest with(long elapsedMillis, long nowMillis) {
            if (nowMillis < periodEndsAtMillis) {
                return new Shortest(periodEndsAtMillis, Math.min(currentMillis, elapsedMillis), previousMillis);
            }
            boolean recent = nowMillis < periodEndsAtMillis + PERIOD_MILLIS;
            return new Shortest(nowMillis + PERIOD_MILLIS, elapsedMillis, recent ? currentMillis : elapsedMillis);
        }

        long millis() {
            return Math.min(currentMillis, previousMillis);
        }
    }

    private final Map<String, Shortest> shortestByUpstream = new ConcurrentHashMap<>();

    /** Returns the monotonic time at which the replica began to work on a call with a response. */
    long beganAtMillis(String upstreamId, long sentAtMillis, long respondedAtMillis) {
        if (shortestByUpstream.size() >= MAX_UPSTREAMS) {
            shortestByUpstream.clear();
        }
        long elapsedMillis = respondedAtMillis - sentAtMillis;
        Shortest shortest = shortestByUpstream.compute(
                upstreamId,
                (id, before) -> before == null
                        ? new Shortest(respondedAtMillis + PERIOD_MILLIS, elapsedMillis, elapsedMillis)
                        : before.with(elapsedMillis, respondedAtMillis));
        return respondedAtMillis - shortest.millis();
    }
}
