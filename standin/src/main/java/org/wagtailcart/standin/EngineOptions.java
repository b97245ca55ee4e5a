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
 * @param cost cost model of its work
 * @param cacheTokens size of the prefix cache in tokens
 * @param orderMillis time out of service for an order, without the time to load weights
 * @param loadLagMillis age of the reported load
 * @param cacheEventLagMillis age of the reported prefix cache events
 * @param cacheEventDropInterval every event whose number is a multiple of this is dropped, 0 for none
 * @param weights weight store that an order loads weights from
 * @param powerFeed power feed shared with other engines
 * @param exitOnCrash whether a crash ends the process; otherwise it only closes the sockets
 */
public record EngineOptions(
        Address listen,
        EngineTarget target,
        boolean checksFencing,
        CostModel cost,
        int cacheTokens,
        long orderMillis,
        long loadLagMillis,
        long cacheEventLagMillis,
        int cacheEventDropInterval,
        Optional<Address> weights,
        Optional<Address> powerFeed,
        boolean exitOnCrash) {
    /** Returns the options of an engine inside a test process: fast, and 200 ms out of service for an order. */
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

    /** Returns these options with the check of fencing tokens on or off. */
    public EngineOptions withChecksFencing(boolean checks) {
        return new EngineOptions(
                listen,
                target,
                checks,
                cost,
                cacheTokens,
                orderMillis,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventDropInterval,
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
                orderMillis,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventDropInterval,
                weights,
                powerFeed,
                exitOnCrash);
    }

    /** Returns these options with another time out of service for an order. */
    public EngineOptions withOrderMillis(long millis) {
        return new EngineOptions(
                listen,
                target,
                checksFencing,
                cost,
                cacheTokens,
                millis,
                loadLagMillis,
                cacheEventLagMillis,
                cacheEventDropInterval,
                weights,
                powerFeed,
                exitOnCrash);
    }
}
