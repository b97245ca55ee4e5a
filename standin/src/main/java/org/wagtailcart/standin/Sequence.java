package org.wagtailcart.standin;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** One request in an engine's batch. Its progress belongs to the engine's loop; the events may be read by any thread. */
final class Sequence {
    /** Index in place of a token: the sequence is complete. */
    static final int FINISHED = -1;
    /** Index in place of a token: the sequence was cancelled or cut. */
    static final int CUT = -2;

    private final String requestId;
    private final int priorityRank;
    private final int maxTokens;
    private final BlockingQueue<Integer> events = new LinkedBlockingQueue<>();
    private double prefillLeft;
    private int nextIndex;

    /**
     * Creates a sequence.
     *
     * @param prefillTokens prompt tokens to process, without those found in the cache
     * @param firstIndex first token to generate
     */
    Sequence(String requestId, int priorityRank, double prefillTokens, int firstIndex, int maxTokens) {
        this.requestId = requestId;
        this.priorityRank = priorityRank;
        this.prefillLeft = prefillTokens;
        this.nextIndex = firstIndex;
        this.maxTokens = maxTokens;
    }

    String requestId() {
        return requestId;
    }

    int priorityRank() {
        return priorityRank;
    }

    BlockingQueue<Integer> events() {
        return events;
    }

    boolean prefilling() {
        return prefillLeft > 0;
    }

    void prefill(double tokens) {
        prefillLeft -= tokens;
    }

    /** Generates a token or the end; returns whether the sequence is complete. */
    boolean step() {
        if (nextIndex < maxTokens) {
            events.add(nextIndex);
            nextIndex++;
        }
        if (nextIndex >= maxTokens) {
            events.add(FINISHED);
            return true;
        }
        return false;
    }

    void cut() {
        events.add(CUT);
    }
}
