package org.wagtailcart.gateway.list;

/** Use of an upstream by one request, from the choice to the end. */
public final class Use {
    private final UpstreamBook book;
    private final Upstream upstream;
    private final long tokens;
    private final long startMillis;
    private final long dueMillis;
    private boolean ended;
    private boolean read;

    Use(UpstreamBook book, Upstream upstream, long tokens, long startMillis, long dueMillis) {
        this.book = book;
        this.upstream = upstream;
        this.tokens = tokens;
        this.startMillis = startMillis;
        this.dueMillis = dueMillis;
    }

    /** Returns the upstream. */
    public Upstream upstream() {
        return upstream;
    }

    /** Notes that the upstream has read the prompt. */
    public void promptRead() {
        synchronized (book) {
            if (!read && !ended) {
                read = true;
                upstream.promptRead(tokens);
                upstream.answered(book.nowMillis());
            }
        }
    }

    /** Returns whether the upstream is late with this request and has answered no other since it was sent. */
    boolean isUnanswered(long answeredMillis, long nowMillis) {
        return nowMillis > dueMillis && answeredMillis < startMillis;
    }

    /** Ends the use without a verdict on the upstream. */
    public void end() {
        synchronized (book) {
            if (!ended) {
                ended = true;
                upstream.ended(this, read ? 0 : tokens);
            }
        }
    }

    /**
     * Ends the use of an engine that has read a prompt.
     *
     * @param estimatedMillis time that it was expected to take
     */
    public void endRead(double estimatedMillis, long nowMillis) {
        synchronized (book) {
            upstream.read((double) (nowMillis - startMillis), estimatedMillis, nowMillis);
        }
        end(Outcome.ANSWERED, nowMillis);
    }

    /** Ends the use with a verdict on the upstream. */
    public void end(Outcome outcome, long nowMillis) {
        end();
        if (outcome != Outcome.NO_ANSWER) {
            book.answered(upstream, nowMillis);
        }
        book.outcome(upstream, outcome, (double) (nowMillis - startMillis), nowMillis);
    }
}
