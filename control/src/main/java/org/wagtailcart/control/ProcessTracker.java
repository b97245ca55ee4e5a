package org.wagtailcart.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.control.client.ProcessStatus;
import org.wagtailcart.control.client.SyncRequest;

/** Latest sync request of each process. Safe for use by several threads. */
final class ProcessTracker {
    // A process that has been silent for this long is gone; its lease ended long before.
    private static final long RETAINED_MILLIS = 60_000;

    private record ReceivedSync(SyncRequest request, long atMillis) {}

    private final Map<String, ReceivedSync> latest = new HashMap<>();
    private Map<String, SyncRequest> pending = new HashMap<>();

    /** Keeps a request that a process sent to this member. */
    synchronized void addPending(SyncRequest request) {
        pending.put(processKey(request), request);
    }

    /** Keeps the requests of a digest. */
    synchronized void recordBatch(Collection<SyncRequest> requests, long nowMillis) {
        requests.forEach(request -> latest.put(processKey(request), new ReceivedSync(request, nowMillis)));
        latest.values().removeIf(heard -> nowMillis - heard.atMillis() > RETAINED_MILLIS);
    }

    /** Returns the requests since the previous call. */
    synchronized List<SyncRequest> drainPending() {
        List<SyncRequest> requests = List.copyOf(pending.values());
        pending = new HashMap<>();
        return requests;
    }

    /** Returns the loads in the latest requests. */
    synchronized List<ObservedLoad> loads() {
        return latest.values().stream()
                .flatMap(heard -> heard.request().reports().stream()
                        .map(report -> new ObservedLoad(
                                heard.request().processId(),
                                heard.request().role(),
                                heard.request().failureDomain(),
                                heard.request().fleetVersion(),
                                heard.atMillis(),
                                report)))
                .toList();
    }

    /** Returns the number of entries heard within a time. */
    synchronized int activeEntryCount(long nowMillis, long withinMillis) {
        return (int) latest.values().stream()
                .filter(heard -> heard.request().role().contains("entry"))
                .filter(heard -> nowMillis - heard.atMillis() < withinMillis)
                .count();
    }

    /** Returns the processes by name. */
    synchronized List<ProcessStatus> processes(long nowMillis) {
        return latest.values().stream()
                .map(heard -> new ProcessStatus(
                        heard.request().processId(),
                        heard.request().role(),
                        heard.request().host(),
                        heard.request().failureDomain(),
                        heard.request().revision(),
                        heard.request().fleetVersion(),
                        nowMillis - heard.atMillis()))
                .sorted(Comparator.comparing(ProcessStatus::processId).thenComparing(ProcessStatus::role))
                .toList();
    }

    synchronized void clear() {
        latest.clear();
    }

    private static String processKey(SyncRequest request) {
        return request.role() + "/" + request.processId();
    }
}
