package org.wagtailcart.standin;

import java.util.Optional;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;

/**
 * Options of a stand-in engine.
 *
 * @param listen address of its HTTP listener
 * @param target configuration after each start
 * @param checksFencing whether it refuses stale fencing tokens
 * @param cost time that work takes
 * @param cacheTokens size of the prefix cache
 * @param changeMillis time it is away for an order, besides the time for the weights
 * @param loadLagMillis age of the load it reports
 * @param cacheEventLagMillis age of the cache events it reports
 * @param cacheEventGap every so many cache events one is lost, 0 for never
 * @param weights weight store that orders load from
 * @param powerFeed power feed shared with other engines
 * @param exitOnCrash whether a crash ends the process; an embedded engine closes its sockets only
 */
public record EngineOptions(
        Address listen,
        EngineTarget target,
        boolean checksFencing,
        CostModel cost,
        int cacheTokens,
        long changeMillis,
        long loadLagMillis,
        long cacheEventLagMillis,
        int cacheEventGap,
        Optional<Address> weights,
        Optional<Address> powerFeed,
        boolean exitOnCrash) {
    /** Returns the options of an embedded engine for tests: fast, and 200 ms away for an order. */
    public static EngineOptions forTest(Address listen, String model) {
        EngineTarget target = new EngineTarget(EngineRole.MIXED, model, "", "1");
        return new EngineOptions(
                listen,
                target,
                true,
                CostModel.fast(),
                100_000,
                200,
                200,
                200,
                0,
                Optional.empty(),
                Optional.empty(),
                false);
    }

    /** Returns these options with another fencing behaviour. */
    public EngineOptions withChecksFencing(boolean checks) {
        return new EngineOptions(
                listen,
                target,
                checks,
                cost,
                cacheTokens,
                changeMillis,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventGap,
                weights,
                powerFeed,
                exitOnCrash);
    }

    /** Returns these options with another cost model. */
    public EngineOptions withCost(CostModel other) {
        return new EngineOptions(
                listen,
                target,
                checksFencing,
                other,
                cacheTokens,
                changeMillis,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventGap,
                weights,
                powerFeed,
                exitOnCrash);
    }

    /** Returns these options with another time away for an order. */
    public EngineOptions withChangeMillis(long millis) {
        return new EngineOptions(
                listen,
                target,
                checksFencing,
                cost,
                cacheTokens,
                millis,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventGap,
                weights,
                powerFeed,
                exitOnCrash);
    }
}
