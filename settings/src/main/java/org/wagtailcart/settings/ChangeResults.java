package org.wagtailcart.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Deduplication table of operator changes: results by change id, so that a resent change gets its first result. */
public final class ChangeResults {
    /** Limit of retained changes, for accepted and for refused ones each; covers two weeks at 1,200 changes a day. */
    public static final int MAX_RETAINED = 20_000;

    /**
     * Recorded first result of a change.
     *
     * @param changeId id of the change
     * @param fingerprint hash of its content
     * @param codeNumber number of its result code
     * @param resultNumber revision or order number in its result
     * @param message message of its result
     */
    public record Entry(String changeId, String fingerprint, int codeNumber, long resultNumber, String message) {}

    private final int maxRetained;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Deque<String> acceptedIds = new ArrayDeque<>();
    // Refused changes have their own queue, so that a failing operator script cannot evict accepted changes.
    private final Deque<String> refusedIds = new ArrayDeque<>();

    /** Creates an empty table for {@link #MAX_RETAINED} accepted and as many refused changes. */
    public ChangeResults() {
        this(MAX_RETAINED);
    }

    ChangeResults(int maxRetained) {
        this.maxRetained = maxRetained;
    }

    /** Returns the hash of a change's content. */
    public static String fingerprint(Record change) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest(change.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 12);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the recorded first result of a change. */
    public Optional<Entry> find(String changeId) {
        return Optional.ofNullable(entries.get(changeId));
    }

    /** Records the first result of a change and evicts the oldest one of its kind above the limit. */
    public void add(Entry entry) {
        entries.put(entry.changeId(), entry);
        Deque<String> queue = entry.codeNumber() == 0 ? acceptedIds : refusedIds;
        queue.addLast(entry.changeId());
        if (queue.size() > maxRetained) {
            entries.remove(queue.removeFirst());
        }
    }

    /** Returns all entries, first the accepted and then the refused ones, each oldest first. */
    public List<Entry> toList() {
        return Stream.concat(acceptedIds.stream(), refusedIds.stream())
                .map(entries::get)
                .toList();
    }

    /** Replaces all entries. */
    public void restore(List<Entry> list) {
        entries.clear();
        acceptedIds.clear();
        refusedIds.clear();
        list.forEach(this::add);
    }
}
