package org.wagtailcart.gateway.send;

import java.util.ArrayDeque;
import java.util.Queue;

/** What a connection to an upstream has carried. Confined to the request that uses the connection. */
final class ConnectionHistory {
    /** Limit on the remembered ids. A connection carries a few requests a second, and late responses come in seconds. */
    private static final int MAX_IDS = 64;

    private final long number;
    private final Queue<String> latestIds = new ArrayDeque<>();
    private int requests;

    /**
     * Creates the history of a new connection.
     *
     * @param number number of the connection in this process
     */
    ConnectionHistory(long number) {
        this.number = number;
    }

    long number() {
        return number;
    }

    int requests() {
        return requests;
    }

    /** Returns whether one of the latest requests had the given id. */
    boolean hasCarried(String requestId) {
        return latestIds.contains(requestId);
    }

    /** Records a request that is about to be written. */
    void add(String requestId) {
        requests++;
        if (requestId.isEmpty()) {
            return;
        }
        if (latestIds.size() == MAX_IDS) {
            latestIds.remove();
        }
        latestIds.add(requestId);
    }
}
