package org.wagtailcart.sidecar.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Lets a limited number of items run at once; a limited number of others wait, those with a higher rank in front. Not
 * safe for use by several threads.
 *
 * @param <T> item
 */
public final class PriorityConcurrencyLimiter<T> {
    /**
     * An item that waits.
     *
     * @param item the item
     * @param rank higher goes first
     * @param deadlineMillis time after which it no longer waits
     * @param arrival number in order of arrival
     */
    private record QueuedItem<T>(T item, int rank, long deadlineMillis, long arrival) {}

    /**
     * Result of an offer.
     *
     * @param started items that may run now
     * @param rejected items that found no room, perhaps one that waited with a lower rank
     */
    public record OfferResult<T>(List<T> started, List<T> rejected) {}

    private final int queueLimit;
    private final List<QueuedItem<T>> queue = new ArrayList<>();
    private int running;
    private long arrivals;

    /** Creates an empty gate. */
    public PriorityConcurrencyLimiter(int queueLimit) {
        this.queueLimit = queueLimit;
    }

    /** Returns the number of items that run. */
    public int running() {
        return running;
    }

    /** Returns the number of items that wait. */
    public int queued() {
        return queue.size();
    }

    /** Offers an item. */
    public OfferResult<T> offer(T item, int rank, long deadlineMillis, int limit) {
        queue.add(new QueuedItem<>(item, rank, deadlineMillis, arrivals++));
        queue.sort(
                Comparator.comparing((QueuedItem<T> waiting) -> -waiting.rank()).thenComparing(QueuedItem::arrival));
        List<T> started = startQueued(limit);
        return new OfferResult<>(started, rejectExcess());
    }

    /** Ends a running item and returns those that may run now. */
    public List<T> release(int limit) {
        running--;
        return startQueued(limit);
    }

    /** Returns the items that may run now, after the limit changed. */
    public List<T> startQueued(int limit) {
        List<T> started = queue.stream()
                .limit(Math.max(0, limit - running))
                .map(QueuedItem::item)
                .toList();
        queue.subList(0, started.size()).clear();
        running += started.size();
        return started;
    }

    /** Removes and returns the items whose deadline has passed. */
    public List<T> expire(long nowMillis) {
        List<T> expired = queue.stream()
                .filter(waiting -> waiting.deadlineMillis() <= nowMillis)
                .map(QueuedItem::item)
                .toList();
        queue.removeIf(waiting -> waiting.deadlineMillis() <= nowMillis);
        return expired;
    }

    /** Removes an item that waits; returns whether it did. */
    public boolean remove(T item) {
        return queue.removeIf(waiting -> waiting.item().equals(item));
    }

    /** Removes and returns all items that wait. */
    public List<T> removeAll() {
        List<T> removed = queue.stream().map(QueuedItem::item).toList();
        queue.clear();
        return removed;
    }

    private List<T> rejectExcess() {
        List<T> refused = Stream.of(queue)
                .filter(waiting -> waiting.size() > queueLimit)
                .map(waiting -> waiting.remove(waiting.size() - 1).item())
                .toList();
        return refused;
    }
}
