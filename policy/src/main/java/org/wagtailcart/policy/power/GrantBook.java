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
    private final long grantMillis;
    private final Map<String, Long> deadlines = new HashMap<>();

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
        deadlines.values().removeIf(deadline -> deadline <= nowMillis);
        long deadline = nowMillis + grantMillis;
        return engines.stream()
                .filter(EngineObservation::inService)
                .sorted(Comparator.comparingDouble(this::need).reversed().thenComparing(EngineObservation::upstreamId))
                .limit(allowance)
                .map(EngineObservation::upstreamId)
                .toList()
                .stream()
                .filter(engine -> renew(engine, allowance, deadline))
                .map(engine -> new EngineGrant(engine, deadline))
                .toList();
    }

    private boolean renew(String engine, int allowance, long deadline) {
        if (!deadlines.containsKey(engine) && deadlines.size() >= allowance) {
            return false;
        }
        deadlines.put(engine, deadline);
        return true;
    }

    /** Load, with a bonus for a present holder so that grants do not wander between equally loaded engines. */
    private double need(EngineObservation engine) {
        double load = engine.running() + engine.queued();
        return deadlines.containsKey(engine.upstreamId()) ? 1.3 * load + 4 : load;
    }
}
