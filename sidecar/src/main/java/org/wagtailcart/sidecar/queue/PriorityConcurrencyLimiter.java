package org.wagtailcart.sidecar.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Concurrency limiter with a bounded priority queue. Items above the limit are queued by rank, then by arrival. Not
 * thread-safe.
 *
 * @param <T> type of the items
 */
public final class PriorityConcurrencyLimiter<T> {
    /**
     * A queued item.
     *
     * @param item the item
     * @param rank priority; higher ranks start first
     * @param deadlineMillis time at which the item expires
     * @param arrival sequence number of the offer
     */
    private record QueuedItem<T>(T item, int rank, long deadlineMillis, long arrival) {}

    /**
     * Result of an offer.
     *
     * @param started items that may start now
     * @param rejected items that exceed the queue limit; the offered one or a queued one of lower rank
     */
    public record OfferResult<T>(List<T> started, List<T> rejected) {}

    private final int queueLimit;
    private final List<QueuedItem<T>> queue = new ArrayList<>();
    private int running;
    private long arrivals;

    /** Creates a limiter without items; at most queueLimit items are queued. */
    public PriorityConcurrencyLimiter(int queueLimit) {
        this.queueLimit = queueLimit;
    }

    /** Returns the number of running items. */
    public int running() {
        return running;
    }

    /** Returns the number of queued items. */
    public int queued() {
        return queue.size();
    }

    /** Starts or queues an item under the given limit; if the queue is full, the item last in order is rejected. */
    public OfferResult<T> offer(T item, int rank, long deadlineMillis, int limit) {
        queue.add(new QueuedItem<>(item, rank, deadlineMillis, arrivals++));
        queue.sort(
                Comparator.comparing((QueuedItem<T> queued) -> -queued.rank()).thenComparing(QueuedItem::arrival));
        List<T> started = startQueued(limit);
        return new OfferResult<>(started, rejectExcess());
    }

    /** Removes a finished item from the running count and returns the queued items that may start now. */
    public List<T> release(int limit) {
        running--;
        return startQueued(limit);
    }

    /** Starts the queued items that the given limit allows and returns them. */
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
                .filter(queued -> queued.deadlineMillis() <= nowMillis)
                .map(QueuedItem::item)
                .toList();
        queue.removeIf(queued -> queued.deadlineMillis() <= nowMillis);
        return expired;
    }

    /** Removes a queued item; returns whether it was queued. */
    public boolean remove(T item) {
        return queue.removeIf(queued -> queued.item().equals(item));
    }

    /** Removes and returns all queued items. */
    public List<T> removeAll() {
        List<T> removed = queue.stream().map(QueuedItem::item).toList();
        queue.clear();
        return removed;
    }

    private List<T> rejectExcess() {
        List<T> rejected = Stream.of(queue)
                .filter(items -> items.size() > queueLimit)
                .map(items -> items.remove(items.size() - 1).item())
                .toList();
        return rejected;
    }
}
