package org.wagtailcart.control.watch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.wagtailcart.control.client.PrefixCacheUpdate;

/** The latest notes of all gateways, for those that have not read them. Bounded; not thread safe. */
final class PrefixUpdateLog {
    private static final int MAX_ENTRIES = 4_000;
    /** Notes in one answer; a gateway that lags reads on with its next question. */
    private static final int MAX_PAGE_ENTRIES = 500;

    /** A note and its number. */
    private record LogEntry(long number, String sourceId, PrefixCacheUpdate update) {}

    /**
     * Notes for a gateway.
     *
     * @param cursor number of the last note that was looked at
     * @param updates those of other gateways
     */
    record Page(long cursor, List<PrefixCacheUpdate> updates) {}

    private final Deque<LogEntry> entries = new ArrayDeque<>();
    private long lastNumber;

    void add(String sourceId, List<PrefixCacheUpdate> added) {
        added.forEach(note -> entries.add(new LogEntry(++lastNumber, sourceId, note)));
        while (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
    }

    Page pageAfter(long cursor, String readerId) {
        List<LogEntry> page = entries.stream()
                .filter(note -> note.number() > cursor)
                .limit(MAX_PAGE_ENTRIES)
                .toList();
        long end = page.isEmpty() ? lastNumber : page.get(page.size() - 1).number();
        return new Page(
                end,
                page.stream()
                        .filter(note -> !note.sourceId().equals(readerId))
                        .map(LogEntry::update)
                        .toList());
    }
}
