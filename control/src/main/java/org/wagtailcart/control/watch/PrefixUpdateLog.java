package org.wagtailcart.control.watch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.wagtailcart.control.client.PrefixCacheUpdate;

/** Bounded log of the latest prefix updates, read by each gateway with a cursor. Not thread safe. */
final class PrefixUpdateLog {
    private static final int MAX_ENTRIES = 4_000;
    /** Limit of updates in one reply; a lagging gateway gets the next page with its next poll. */
    private static final int MAX_PAGE_ENTRIES = 500;

    /** An update with its sequence number and the gateway that reported it. */
    private record LogEntry(long sequenceNumber, String sourceId, PrefixCacheUpdate update) {}

    /**
     * Page of updates for one gateway.
     *
     * @param cursor number of the last update covered by the page
     * @param updates updates that were not reported by the gateway itself
     */
    record Page(long cursor, List<PrefixCacheUpdate> updates) {}

    private final Deque<LogEntry> entries = new ArrayDeque<>();
    private long lastNumber;

    void add(String sourceId, List<PrefixCacheUpdate> added) {
        added.forEach(update -> entries.add(new LogEntry(++lastNumber, sourceId, update)));
        while (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
    }

    Page pageAfter(long cursor, String readerId) {
        List<LogEntry> page = entries.stream()
                .filter(entry -> entry.sequenceNumber() > cursor)
                .limit(MAX_PAGE_ENTRIES)
                .toList();
        long end = page.isEmpty() ? lastNumber : page.get(page.size() - 1).sequenceNumber();
        return new Page(
                end,
                page.stream()
                        .filter(entry -> !entry.sourceId().equals(readerId))
                        .map(LogEntry::update)
                        .toList());
    }
}
