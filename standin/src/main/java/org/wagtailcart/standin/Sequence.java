package org.wagtailcart.standin;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** One request in an engine's batch. Only the engine's loop advances it; any thread may read its events. */
final class Sequence {
    /** Event in place of a token index: the sequence is complete. */
    static final int FINISHED = -1;
    /** Event in place of a token index: the sequence was cancelled or aborted. */
    static final int ABORTED = -2;

    private final String requestId;
    private final int priorityRank;
    private final int maxTokens;
    private final BlockingQueue<Integer> events = new LinkedBlockingQueue<>();
    private double remainingPrefillTokens;
    private int nextIndex;

    /**
     * Creates a sequence.
     *
     * @param prefillTokens prompt tokens to prefill, without cached ones
     * @param firstIndex index of the first token to generate
     * @param maxTokens index after the last token to generate
     */
    Sequence(String requestId, int priorityRank, double prefillTokens, int firstIndex, int maxTokens) {
        this.requestId = requestId;
        this.priorityRank = priorityRank;
        this.remainingPrefillTokens = prefillTokens;
        this.nextIndex = firstIndex;
        this.maxTokens = maxTokens;
    }

    String requestId() {
        return requestId;
    }

    int priorityRank() {
        return priorityRank;
    }

    /** Returns the indexes of the generated tokens, then {@link #FINISHED} or {@link #ABORTED}. */
    BlockingQueue<Integer> events() {
        return events;
    }

    boolean prefilling() {
        return remainingPrefillTokens > 0;
    }

    void prefill(double tokens) {
        remainingPrefillTokens -= tokens;
    }

    /** Generates the next token, if any; returns whether the sequence is complete. */
    boolean generateNext() {
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

    void abort() {
        events.add(ABORTED);
    }
}
