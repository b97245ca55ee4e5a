package org.wagtailcart.control.watch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wagtailcart.control.client.UpstreamWork;
import org.wagtailcart.control.client.WatchRequest;

/** What the gateways reported of themselves lately. Not thread safe. */
final class GatewayBook {
    /** A gateway that has not asked for longer is gone or asks another member. */
    static final long KEEP_MILLIS = 3_000;

    private record Heard(long deadlineMillis, List<UpstreamWork> work) {}

    private final Map<String, Heard> heardByProcess = new HashMap<>();
    private boolean trafficSeen;

    void heard(WatchRequest request, long nowMillis) {
        trafficSeen |= !request.work().isEmpty();
        heardByProcess.put(request.processId(), new Heard(nowMillis + KEEP_MILLIS, request.work()));
    }

    int count(long nowMillis) {
        heardByProcess.values().removeIf(heard -> heard.deadlineMillis() < nowMillis);
        return heardByProcess.size();
    }

    /** Returns whether any gateway ever had work in flight. */
    boolean trafficSeen() {
        return trafficSeen;
    }

    /** Returns the work of all gateways but one, summed for each upstream. */
    List<UpstreamWork> workOfOthers(String processId) {
        return List.copyOf(heardByProcess.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(processId))
                .flatMap(entry -> entry.getValue().work().stream())
                .collect(Collectors.toMap(UpstreamWork::instanceId, Function.identity(), UpstreamWork::plus))
                .values());
    }
}
