package org.wagtailcart.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.control.client.ProcessStatus;
import org.wagtailcart.control.client.SyncRequest;

/** Tracks the latest sync request of each process. Thread safe. */
final class ProcessTracker {
    // Far longer than the settings lease of 12 s, so that a process dropped here can no longer be serving.
    private static final long RETENTION_MILLIS = 60_000;

    private record ReceivedSync(SyncRequest request, long receivedAtMillis) {}

    private final Map<String, ReceivedSync> latest = new HashMap<>();
    private Map<String, SyncRequest> pending = new HashMap<>();

    /** Queues a request received from a process for the next sync batch; it replaces an earlier one of the process. */
    synchronized void addPending(SyncRequest request) {
        pending.put(processKey(request), request);
    }

    /** Records the requests of a sync batch and drops processes without recent contact. */
    synchronized void recordBatch(Collection<SyncRequest> requests, long nowMillis) {
        requests.forEach(request -> latest.put(processKey(request), new ReceivedSync(request, nowMillis)));
        latest.values().removeIf(sync -> nowMillis - sync.receivedAtMillis() > RETENTION_MILLIS);
    }

    /** Returns and removes the queued requests. */
    synchronized List<SyncRequest> drainPending() {
        List<SyncRequest> requests = List.copyOf(pending.values());
        pending = new HashMap<>();
        return requests;
    }

    /** Returns the load reports of the latest requests. */
    synchronized List<ObservedLoad> loads() {
        return latest.values().stream()
                .flatMap(sync -> sync.request().reports().stream()
                        .map(report -> new ObservedLoad(
                                sync.request().processId(),
                                sync.request().role(),
                                sync.request().failureDomain(),
                                sync.request().fleetVersion(),
                                sync.receivedAtMillis(),
                                report)))
                .toList();
    }

    /** Returns the number of entries whose latest request arrived less than the given time ago. */
    synchronized int activeEntryCount(long nowMillis, long withinMillis) {
        return (int) latest.values().stream()
                .filter(sync -> sync.request().role().contains("entry"))
                .filter(sync -> nowMillis - sync.receivedAtMillis() < withinMillis)
                .count();
    }

    /** Returns the status of all tracked processes, sorted by process id and role. */
    synchronized List<ProcessStatus> processes(long nowMillis) {
        return latest.values().stream()
                .map(sync -> new ProcessStatus(
                        sync.request().processId(),
                        sync.request().role(),
                        sync.request().host(),
                        sync.request().failureDomain(),
                        sync.request().revision(),
                        sync.request().fleetVersion(),
                        nowMillis - sync.receivedAtMillis()))
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
