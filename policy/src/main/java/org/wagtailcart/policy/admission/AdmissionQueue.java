package org.wagtailcart.policy.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.wagtailcart.common.Priority;

/**
 * Bounded queue of one pool with one lane per priority. Higher priorities go first, but a lane that was skipped too
 * often is served next. Items are compared by {@code equals}. Not thread safe.
 *
 * @param <T> type of the queued requests
 */
public final class AdmissionQueue<T> {
    /**
     * Skipped turns after which a lane is served next. One start in 16 keeps batch requests running and costs higher
     * priorities at most 6% of the starts.
     */
    public static final int MAX_SKIPPED_TURNS = 15;

    /** Weight of the latest interval between starts in the moving average. */
    private static final double INTERVAL_WEIGHT = 0.05;

    private static final List<Priority> HIGHEST_FIRST = Arrays.stream(Priority.values())
            .sorted(Comparator.comparingInt(Priority::rank).reversed())
            .toList();

    private final Map<Priority, Lane<T>> lanes = new EnumMap<>(Priority.class);
    private final Map<T, Priority> priorityByItem = new HashMap<>();
    private final int limitPerPriority;
    private double startIntervalMillis;
    private long lastStartMillis;
    private boolean backlogSinceLastStart;

    /**
     * Creates a queue.
     *
     * @param limitPerPriority maximum number of requests in each lane, 0 for no queueing
     * @throws IllegalArgumentException when the limit is negative
     */
    public AdmissionQueue(int limitPerPriority) {
        if (limitPerPriority < 0) {
            throw new IllegalArgumentException("limitPerPriority " + limitPerPriority + " is below 0");
        }
        this.limitPerPriority = limitPerPriority;
        HIGHEST_FIRST.forEach(priority -> lanes.put(priority, new Lane<>()));
    }

    /**
     * Queues a request unless its lane is full or the expected wait exceeds its deadline.
     *
     * @param startByMillis latest time at which a start still meets the deadline: deadline minus expected run time
     * @throws IllegalArgumentException when the item is already queued
     */
    public AdmissionResult offer(T item, Priority priority, long startByMillis, long nowMillis) {
        if (priorityByItem.containsKey(item)) {
            throw new IllegalArgumentException("item " + item + " is already queued");
        }
        Lane<T> lane = lane(priority);
        if (lane.requests.size() >= limitPerPriority) {
            return AdmissionResult.QUEUE_FULL;
        }
        if (nowMillis + expectedWaitMillis(priority) > startByMillis) {
            return AdmissionResult.DEADLINE_UNREACHABLE;
        }
        lane.requests.put(item, new QueuedRequest<>(item, priority, nowMillis, startByMillis));
        priorityByItem.put(item, priority);
        return AdmissionResult.QUEUED;
    }

    /** Returns the next request without removing it. */
    public Optional<QueuedRequest<T>> peek() {
        return nextLane().map(Lane::first);
    }

    /** Removes and returns the next request, and records its start at the given time. */
    public Optional<QueuedRequest<T>> poll(long nowMillis) {
        Optional<Lane<T>> next = nextLane();
        next.ifPresent(lane -> recordStart(lane, nowMillis));
        return next.map(lane -> dequeue(lane, lane.first()));
    }

    /** Removes a request whose caller disconnected; returns whether it was queued. */
    public boolean remove(T item) {
        Priority priority = priorityByItem.remove(item);
        return priority != null && lane(priority).requests.remove(item) != null;
    }

    /** Removes and returns the requests that can no longer meet their deadline. */
    public List<QueuedRequest<T>> expire(long nowMillis) {
        List<QueuedRequest<T>> expired = lanes.values().stream()
                .flatMap(lane -> lane.requests.values().stream())
                .filter(request -> request.startByMillis() < nowMillis)
                .toList();
        expired.forEach(request -> remove(request.item()));
        return expired;
    }

    /** Removes and returns all queued requests, highest priority first. */
    public List<QueuedRequest<T>> drain() {
        List<QueuedRequest<T>> all = new ArrayList<>();
        HIGHEST_FIRST.forEach(
                priority -> all.addAll(List.copyOf(lane(priority).requests.values())));
        all.forEach(request -> remove(request.item()));
        return all;
    }

    /** Returns the expected wait of a new request of this priority. */
    public long expectedWaitMillis(Priority priority) {
        long ahead =
                lanesAtLeast(priority).mapToLong(lane -> lane.requests.size()).sum();
        return Math.round(ahead * startIntervalMillis);
    }

    /** Returns the number of queued requests. */
    public int size() {
        return priorityByItem.size();
    }

    /** Returns the number of queued requests of one priority. */
    public int size(Priority priority) {
        return lane(priority).requests.size();
    }

    private Lane<T> lane(Priority priority) {
        return lanes.computeIfAbsent(priority, unused -> new Lane<>());
    }

    private Stream<Lane<T>> lanesAtLeast(Priority priority) {
        return HIGHEST_FIRST.stream()
                .filter(other -> other.rank() >= priority.rank())
                .map(this::lane);
    }

    private Optional<Lane<T>> nextLane() {
        Optional<Lane<T>> starved = nonEmptyLanes()
                .filter(lane -> lane.skippedTurns >= MAX_SKIPPED_TURNS)
                .findFirst();
        return starved.or(() -> nonEmptyLanes().findFirst());
    }

    private Stream<Lane<T>> nonEmptyLanes() {
        return HIGHEST_FIRST.stream().map(this::lane).filter(lane -> !lane.requests.isEmpty());
    }

    private void recordStart(Lane<T> served, long nowMillis) {
        nonEmptyLanes().filter(lane -> lane != served).forEach(lane -> lane.skippedTurns++);
        served.skippedTurns = 0;
        // Only an interval with a backlog throughout measures how fast the pool drains.
        if (backlogSinceLastStart) {
            double interval = nowMillis - lastStartMillis;
            startIntervalMillis += INTERVAL_WEIGHT * (interval - startIntervalMillis);
        }
        lastStartMillis = nowMillis;
        backlogSinceLastStart = size() > 1;
    }

    private QueuedRequest<T> dequeue(Lane<T> lane, QueuedRequest<T> request) {
        lane.requests.remove(request.item());
        priorityByItem.remove(request.item());
        return request;
    }

    private static final class Lane<T> {
        private final Map<T, QueuedRequest<T>> requests = new LinkedHashMap<>();
        private int skippedTurns;

        private QueuedRequest<T> first() {
            Iterator<QueuedRequest<T>> iterator = requests.values().iterator();
            return iterator.next();
        }
    }
}
