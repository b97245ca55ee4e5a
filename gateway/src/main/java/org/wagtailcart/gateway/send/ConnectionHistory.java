package org.wagtailcart.gateway.send;

import java.util.HashSet;
import java.util.Set;

/** What a connection to an upstream has carried. Confined to the request that uses the connection. */
final class ConnectionHistory {
    /** Limit on the requests of a connection, since the ids of all of them are kept in memory. */
    private static final int MAX_REQUESTS = 1_024;

    private final long number;
    private final Set<String> requestIds = new HashSet<>();
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

    boolean isFull() {
        return requests >= MAX_REQUESTS;
    }

    boolean hasCarried(String requestId) {
        return requestIds.contains(requestId);
    }

    /** Records a request that is about to be written. */
    void add(String requestId) {
        requests++;
        requestIds.add(requestId);
    }
}
