package org.wagtailcart.gateway.list;

/** Use of an upstream by one request, from the choice to the end. */
public final class Use {
    private final UpstreamBook book;
    private final Upstream upstream;
    private final long tokens;
    private final long startMillis;
    private boolean ended;
    private boolean read;

    Use(UpstreamBook book, Upstream upstream, long tokens, long startMillis) {
        this.book = book;
        this.upstream = upstream;
        this.tokens = tokens;
        this.startMillis = startMillis;
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
                upstream.ended(tokens);
                upstream.started(0, java.util.List.of());
            }
        }
    }

    /** Ends the use without a verdict on the upstream. */
    public void end() {
        synchronized (book) {
            if (!ended) {
                ended = true;
                upstream.ended(read ? 0 : tokens);
            }
        }
    }

    /** Ends the use with a verdict on the upstream. */
    public void end(boolean success, long nowMillis) {
        end();
        book.outcome(upstream, success, (double) (nowMillis - startMillis), nowMillis);
    }
}
