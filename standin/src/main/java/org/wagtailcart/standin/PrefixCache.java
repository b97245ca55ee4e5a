package org.wagtailcart.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.common.MillisClock;

/** Cache of prompt prefixes in fixed-size blocks with least-recently-used eviction. */
final class PrefixCache {
    static final int BLOCK_TOKENS = 64;
    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * Tokens.CHARACTERS_PER_TOKEN;
    private static final int MAX_EVENTS = 10_000;

    /**
     * A change of the cache, as {@code /engine/cache-events} reports it.
     *
     * @param sequence number of the event, from 1; a gap in the numbers is a lost event
     * @param kind {@code stored}, {@code evicted} or {@code cleared}
     * @param block hash of the prompt up to the end of the block, in hexadecimal digits
     * @param atMillis time of the change
     */
    record CacheEvent(long sequence, String kind, String block, long atMillis) {}

    private final int capacityBlocks;
    private final int dropInterval;
    private final MillisClock clock;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> events = new ArrayList<>();
    private long nextSequence = 1;

    PrefixCache(int capacityTokens, int gap, MillisClock clock) {
        this.capacityBlocks = Math.max(1, capacityTokens / BLOCK_TOKENS);
        this.dropInterval = gap;
        this.clock = clock;
    }

    /** Returns the length of the longest cached prefix of the prompt in tokens, and stores all blocks of the prompt. */
    synchronized int lookupAndStore(String prompt) {
        int cachedTokens = 0;
        boolean unbroken = true;
        long hash = Tokens.emptyHash();
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            hash = Tokens.hash(hash, prompt.substring(end - BLOCK_CHARACTERS, end));
            unbroken = unbroken && blocks.get(hash) != null;
            cachedTokens += unbroken ? BLOCK_TOKENS : 0;
            store(hash);
        }
        return cachedTokens;
    }

    synchronized void clear() {
        blocks.clear();
        publish("cleared", 0);
    }

    synchronized int sizeTokens() {
        return blocks.size() * BLOCK_TOKENS;
    }

    /** Returns the events above the given number that happened up to the given time. */
    synchronized List<CacheEvent> eventsAfter(long sequence, long untilMillis) {
        return events.stream()
                .filter(event -> event.sequence() > sequence && event.atMillis() <= untilMillis)
                .toList();
    }

    private void store(long hash) {
        if (blocks.put(hash, true) == null) {
            publish("stored", hash);
        }
        if (blocks.size() > capacityBlocks) {
            Long eldest = blocks.keySet().iterator().next();
            blocks.remove(eldest);
            publish("evicted", eldest);
        }
    }

    private void publish(String kind, long hash) {
        long sequence = nextSequence++;
        if (dropInterval > 0 && sequence % dropInterval == 0) {
            return;
        }
        events.add(new CacheEvent(sequence, kind, Long.toHexString(hash), clock.nowMillis()));
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
    }
}
