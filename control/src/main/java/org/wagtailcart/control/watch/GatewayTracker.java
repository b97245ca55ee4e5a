package org.wagtailcart.control.watch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.control.client.WatchRequest;

/** Tracks the outstanding work that gateways recently reported. Not thread safe. */
final class GatewayTracker {
    /** A gateway without a poll for this long has stopped or polls another member. */
    static final long RETENTION_MILLIS = 3_000;

    private record GatewayReport(long expiresAtMillis, List<OutstandingWork> work) {}

    private final Map<String, GatewayReport> reportsByProcess = new HashMap<>();
    private boolean trafficSeen;

    void record(WatchRequest request, long nowMillis) {
        trafficSeen |= !request.outstandingWork().isEmpty();
        reportsByProcess.put(
                request.processId(), new GatewayReport(nowMillis + RETENTION_MILLIS, request.outstandingWork()));
    }

    int activeCount(long nowMillis) {
        reportsByProcess.values().removeIf(report -> report.expiresAtMillis() < nowMillis);
        return reportsByProcess.size();
    }

    /** Returns whether any gateway has ever reported outstanding work. */
    boolean trafficSeen() {
        return trafficSeen;
    }

    /** Returns the requests in flight of all gateways by upstream. */
    Map<String, Integer> requestsByUpstream(long nowMillis) {
        return reportsByProcess.values().stream()
                .filter(report -> report.expiresAtMillis() >= nowMillis)
                .flatMap(report -> report.work().stream())
                .collect(Collectors.toMap(OutstandingWork::instanceId, OutstandingWork::requests, Integer::sum));
    }

    /** Returns the outstanding work of all gateways except one, summed per upstream. */
    List<OutstandingWork> workOfOtherGateways(String processId) {
        return List.copyOf(reportsByProcess.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(processId))
                .flatMap(entry -> entry.getValue().work().stream())
                .collect(Collectors.toMap(OutstandingWork::instanceId, Function.identity(), OutstandingWork::plus))
                .values());
    }
}
