package org.wagtailcart.gateway.send;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;

/**
 * Upstreams that have sent bytes no request waited for. Where they fall within the next response, they cannot always be
 * told from it, so that connections to such an upstream carry one request each for a while. Thread safe.
 */
public final class SuspectUpstreams {
    private static final long SUSPICION_MILLIS = 30_000;

    private final Map<Address, Long> endByAddressMillis = new ConcurrentHashMap<>();
    private final MillisClock clock;

    /** Creates a tracker without suspects. */
    public SuspectUpstreams(MillisClock clock) {
        this.clock = clock;
    }

    /** Records unexpected bytes from an upstream. */
    void add(Address upstream) {
        long nowMillis = clock.nowMillis();
        endByAddressMillis.values().removeIf(endMillis -> endMillis <= nowMillis);
        endByAddressMillis.put(upstream, nowMillis + SUSPICION_MILLIS);
    }

    boolean contains(Address upstream) {
        Long endMillis = endByAddressMillis.get(upstream);
        return endMillis != null && clock.nowMillis() < endMillis;
    }

    /** Returns the number of upstreams under suspicion. */
    public long count() {
        long nowMillis = clock.nowMillis();
        return endByAddressMillis.values().stream()
                .filter(endMillis -> nowMillis < endMillis)
                .count();
    }
}
