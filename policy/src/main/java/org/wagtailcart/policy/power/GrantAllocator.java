package org.wagtailcart.policy.power;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.policy.EngineObservation;

/**
 * Hands a number of grants to the engines that need them most. An engine that loses its grant counts until its old
 * deadline has passed, so that a transfer never lets more engines run hard than allowed. Not thread safe.
 */
public final class GrantAllocator {
    /** Waiting requests show that an engine is held back by its soft limit, running ones do not. */
    private static final double QUEUED_WEIGHT = 8;

    /** Grant to use to report takes up to 4 s with reports and syncs every second. */
    private static final long MIN_HOLD_MILLIS = 6_000;

    private static final long MIN_HOLD_IN_USE_MILLIS = 15_000;
    /** Above any load. */
    private static final double RETENTION_BONUS = 1e6;

    private final long grantMillis;
    private final Map<String, ActiveGrant> activeGrants = new HashMap<>();

    /**
     * Creates a book without grants.
     *
     * @param grantMillis validity of a grant
     */
    public GrantAllocator(long grantMillis) {
        this.grantMillis = grantMillis;
    }

    /** Returns the grants in force, with renewed deadlines. */
    public List<EngineGrant> allocate(List<EngineObservation> engines, int allowance, long nowMillis) {
        activeGrants.values().removeIf(hold -> hold.deadlineMillis() <= nowMillis);
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
     * Load, with a bonus for a holder that uses its grant. A new holder keeps its grant until reports could show the
     * use: every transfer leaves the place empty for the validity of the old grant.
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
