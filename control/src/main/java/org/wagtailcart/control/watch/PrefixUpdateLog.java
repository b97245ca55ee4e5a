package org.wagtailcart.control.watch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.wagtailcart.control.client.PrefixCacheUpdate;

/** The latest notes of all gateways, for those that have not read them. Bounded; not thread safe. */
final class PrefixUpdateLog {
    private static final int MAX_NOTES = 4_000;
    /** Notes in one answer; a gateway that lags reads on with its next question. */
    private static final int MAX_PAGE_ENTRIES = 500;

    /** A note and its number. */
    private record Numbered(long number, String author, PrefixCacheUpdate note) {}

    /**
     * Notes for a gateway.
     *
     * @param cursor number of the last note that was looked at
     * @param notes those of other gateways
     */
    record Page(long cursor, List<PrefixCacheUpdate> notes) {}

    private final Deque<Numbered> notes = new ArrayDeque<>();
    private long lastNumber;

    void add(String author, List<PrefixCacheUpdate> added) {
        added.forEach(note -> notes.add(new Numbered(++lastNumber, author, note)));
        while (notes.size() > MAX_NOTES) {
            notes.removeFirst();
        }
    }

    Page after(long cursor, String reader) {
        List<Numbered> page = notes.stream()
                .filter(note -> note.number() > cursor)
                .limit(MAX_PAGE_ENTRIES)
                .toList();
        long end = page.isEmpty() ? lastNumber : page.get(page.size() - 1).number();
        return new Page(
                end,
                page.stream()
                        .filter(note -> !note.author().equals(reader))
                        .map(Numbered::note)
                        .toList());
    }
}
