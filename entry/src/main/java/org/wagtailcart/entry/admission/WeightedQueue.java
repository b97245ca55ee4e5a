package org.wagtailcart.entry.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queue of the requests of one pool and priority. Without weights, the oldest request is next. With weights, the
 * workspaces that wait take turns by start-time fair queueing, so that one of weight 3 is served three times as often as
 * one of weight 1; the requests of a workspace stay in their order. Not thread safe.
 */
final class WeightedQueue {
    private final Deque<PendingRequest> requests = new ArrayDeque<>();
    /** Virtual time at which the next turn of each waiting workspace may begin. */
    private final Map<String, Double> turnByWorkspace = new HashMap<>();

    private double virtualTime;

    void add(PendingRequest request) {
        requests.addLast(request);
    }

    int size() {
        return requests.size();
    }

    void removeIf(Predicate<PendingRequest> condition) {
        requests.removeIf(condition);
    }

    /** Returns the next request; the queue is not empty. */
    PendingRequest next(Map<String, Integer> weights) {
        PendingRequest next = requests.getFirst();
        if (weights.isEmpty()) {
            return next;
        }
        Set<String> seen = new HashSet<>();
        for (PendingRequest request : requests) {
            if (seen.add(request.workspace()) && turn(request.workspace()) < turn(next.workspace())) {
                next = request;
            }
        }
        return next;
    }

    /** Removes the request that {@link #next} returned, and counts the turn of its workspace. */
    void remove(PendingRequest request, Map<String, Integer> weights) {
        requests.remove(request);
        if (requests.isEmpty() || weights.isEmpty()) {
            turnByWorkspace.clear();
            return;
        }
        virtualTime = turn(request.workspace());
        turnByWorkspace.put(request.workspace(), virtualTime + 1.0 / weights.getOrDefault(request.workspace(), 1));
        // A workspace whose next turn has come starts like one that has not waited.
        turnByWorkspace.values().removeIf(turn -> turn <= virtualTime);
    }

    private double turn(String workspace) {
        return Math.max(virtualTime, turnByWorkspace.getOrDefault(workspace, virtualTime));
    }
}
