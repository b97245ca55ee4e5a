package org.wagtailcart.policy.power;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.policy.EngineObservation;

/**
 * Allocates a limited number of power grants to the engines with the most load. An engine that loses its grant counts
 * until its old deadline has passed, so that a transfer never lets more engines than allowed run above the soft limit.
 * Not thread safe.
 */
public final class GrantAllocator {
    /**
     * Weight of a queued request in the load; queued requests show that the soft limit slows an engine, running ones do
     * not.
     */
    private static final double QUEUED_WEIGHT = 8;

    /**
     * Minimum time for which an engine keeps a grant: with reports and syncs every second, it takes up to 4 s until a
     * report can show that the grant is used.
     */
    private static final long MIN_HOLD_MILLIS = 6_000;

    /** Minimum time for which an engine that uses its grant keeps it. */
    private static final long MIN_HOLD_IN_USE_MILLIS = 15_000;
    /** Exceeds any load. */
    private static final double RETENTION_BONUS = 1e6;

    private final long grantMillis;
    private final Map<String, ActiveGrant> activeGrants = new HashMap<>();

    /**
     * Creates an allocator without grants.
     *
     * @param grantMillis validity of a grant
     */
    public GrantAllocator(long grantMillis) {
        this.grantMillis = grantMillis;
    }

    /** Allocates up to {@code allowance} grants to engines in service and returns them with renewed deadlines. */
    public List<EngineGrant> allocate(List<EngineObservation> engines, int allowance, long nowMillis) {
        activeGrants.values().removeIf(grant -> grant.deadlineMillis() <= nowMillis);
        long deadline = nowMillis + grantMillis;
        return engines.stream()
                .filter(EngineObservation::inService)
                .sorted(Comparator.comparingDouble((EngineObservation engine) -> priority(engine, nowMillis))
                        .reversed()
                        .thenComparing(EngineObservation::upstreamId))
                .limit(allowance)
                .map(EngineObservation::upstreamId)
                .toList()
                .stream()
                .filter(engine -> renew(engine, allowance, nowMillis))
                .map(engine -> new EngineGrant(engine, deadline))
                .toList();
    }

    private boolean renew(String engine, int allowance, long nowMillis) {
        ActiveGrant active = activeGrants.get(engine);
        if (active == null && activeGrants.size() >= allowance) {
            return false;
        }
        long since = active == null ? nowMillis : active.sinceMillis();
        activeGrants.put(engine, new ActiveGrant(since, nowMillis + grantMillis));
        return true;
    }

    /**
     * Returns the load of an engine, increased if it has a grant and uses it. A new grant is kept until reports can
     * show its use, because after a transfer the grant is unused until the old deadline has passed.
     */
    private double priority(EngineObservation engine, long nowMillis) {
        double load = engine.running() + QUEUED_WEIGHT * engine.queued();
        ActiveGrant active = activeGrants.get(engine.upstreamId());
        if (active == null) {
            return load;
        }
        long heldMillis = nowMillis - active.sinceMillis();
        boolean keeps =
                heldMillis < MIN_HOLD_MILLIS || (engine.aboveSoftLimit() && heldMillis < MIN_HOLD_IN_USE_MILLIS);
        if (keeps) {
            return RETENTION_BONUS + load;
        }
        return engine.aboveSoftLimit() ? 2 * load + 8 : load;
    }

    private record ActiveGrant(long sinceMillis, long deadlineMillis) {}
}
