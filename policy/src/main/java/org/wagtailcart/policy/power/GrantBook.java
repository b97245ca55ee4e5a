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
public final class GrantBook {
    /** Waiting requests show that an engine is held back by its soft limit, running ones do not. */
    private static final double QUEUED_WEIGHT = 8;

    /** Grant to use to report takes up to 4 s with reports and syncs every second. */
    private static final long MIN_HOLD_MILLIS = 6_000;

    private static final long FIRM_HOLD_MILLIS = 15_000;
    /** Above any load. */
    private static final double KEEP = 1e6;

    private final long grantMillis;
    private final Map<String, Hold> holds = new HashMap<>();

    /**
     * Creates a book without grants.
     *
     * @param grantMillis validity of a grant
     */
    public GrantBook(long grantMillis) {
        this.grantMillis = grantMillis;
    }

    /** Returns the grants in force, with renewed deadlines. */
    public List<EngineGrant> grants(List<EngineObservation> engines, int allowance, long nowMillis) {
        holds.values().removeIf(hold -> hold.deadlineMillis() <= nowMillis);
        long deadline = nowMillis + grantMillis;
        return engines.stream()
                .filter(EngineObservation::inService)
                .sorted(Comparator.comparingDouble((EngineObservation engine) -> need(engine, nowMillis))
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
        Hold hold = holds.get(engine);
        if (hold == null && holds.size() >= allowance) {
            return false;
        }
        long since = hold == null ? nowMillis : hold.sinceMillis();
        holds.put(engine, new Hold(since, nowMillis + grantMillis));
        return true;
    }

    /**
     * Load, with a bonus for a holder that uses its grant. A new holder keeps its grant until reports could show the
     * use: every transfer leaves the place empty for the validity of the old grant.
     */
    private double need(EngineObservation engine, long nowMillis) {
        double load = engine.running() + QUEUED_WEIGHT * engine.queued();
        Hold hold = holds.get(engine.upstreamId());
        if (hold == null) {
            return load;
        }
        long heldMillis = nowMillis - hold.sinceMillis();
        boolean keeps = heldMillis < MIN_HOLD_MILLIS || (engine.hard() && heldMillis < FIRM_HOLD_MILLIS);
        if (keeps) {
            return KEEP + load;
        }
        return engine.hard() ? 2 * load + 8 : load;
    }

    private record Hold(long sinceMillis, long deadlineMillis) {}
}
