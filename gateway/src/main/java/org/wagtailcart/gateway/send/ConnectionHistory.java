package org.wagtailcart.gateway.send;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a connection to an upstream has carried. Except for its idle time, confined to the request that uses it. */
final class ConnectionHistory {
    /** Limit on the requests of a connection, since the ids of all of them are kept in memory. */
    private static final int MAX_REQUESTS = 1_024;

    /** Idle timeout of an upstream that states none; shorter than the usual ones. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;
    /** An upstream states its timeout in whole seconds, and may close the connection while a request is on its way. */
    private static final long IDLE_MARGIN_MILLIS = 1_500;

    private static final Pattern IDLE_TIMEOUT = Pattern.compile("(?i)(?:^|[\\s,;])timeout=([0-9]{1,6})(?:$|[\\s,;])");

    private final long number;
    private final Set<String> requestIds = new HashSet<>();
    private int requests;
    private volatile long idleSinceMillis = Long.MAX_VALUE;
    private volatile long usableUntilMillis = Long.MIN_VALUE;

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

    /**
     * Returns whether the connection has been idle for too long.
     *
     * @param idleMillis limit of the request that is to be sent; the limit of the upstream holds as well
     */
    boolean isExpired(long nowMillis, long idleMillis) {
        return nowMillis >= usableUntilMillis || nowMillis - idleSinceMillis >= idleMillis;
    }

    /**
     * Records that the connection may be idle from now on. Called again as the response goes on; the end of a response may
     * be recorded when the next request already uses the connection.
     *
     * @param keepAlive value of the header Keep-Alive, empty if there is none
     */
    void idleFrom(long nowMillis, String keepAlive) {
        Matcher stated = IDLE_TIMEOUT.matcher(keepAlive);
        long statedMillis = stated.find() ? TimeUnit.SECONDS.toMillis(Long.parseLong(stated.group(1))) : 0;
        long timeoutMillis =
                statedMillis > 0 ? Math.max(statedMillis - IDLE_MARGIN_MILLIS, statedMillis / 2) : DEFAULT_IDLE_MILLIS;
        idleSinceMillis = nowMillis;
        usableUntilMillis = nowMillis + timeoutMillis;
    }

    /** Records a request that is about to be written. */
    void add(String requestId) {
        requests++;
        requestIds.add(requestId);
    }
}
