package org.wagtailcart.standin;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** One request in an engine's batch. Only the engine's loop advances it; any thread may read its events. */
final class Sequence {
    /** Event in place of a token index: the sequence is complete. */
    static final int FINISHED = -1;
    /** Event in place of a token index: the sequence was cancelled or aborted. */
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
     * @param prefillTokens prompt tokens to prefill, without cached ones
     * @param firstIndex index of the first token to generate
     * @param maxTokens index after the last token to generate
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

    /** Returns the indexes of the generated tokens, then {@link #FINISHED} or {@link #CUT}. */
    BlockingQueue<Integer> events() {
        return events;
    }

    boolean prefilling() {
        return prefillLeft > 0;
    }

    void prefill(double tokens) {
        prefillLeft -= tokens;
    }

    /** Generates the next token, if any; returns whether the sequence is complete. */
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
