package org.wagtailcart.policy.share;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.wagtailcart.common.StableHash;

/**
 * Limits the requests of workspaces that ask for more than their share of a contended service. The leader of the
 * control group says which these are. While a gateway gets no shares from it, it computes them from its own demand, with
 * the capacity of the service divided by the number of gateways. Deterministic; not thread safe.
 */
public final class ShareLimiter {
    /** Validity of the shares that the leader sends; eight polls. */
    public static final long SHARES_VALID_MILLIS = 2_000;

    /**
     * Time for which the last capacity that the leader sent is used without it. Engines come and go in minutes, and
     * after that the gateway's own observation is closer.
     */
    static final long CAPACITY_VALID_MILLIS = 60_000;

    /** Limit on the counters, for a few sizes of requests of each limited workspace. */
    static final int MAX_COUNTERS = 2_000;

    private final String gatewayId;
    /** Calculator of the shares at this gateway alone, from its own demand, for the time without the leader. */
    private final ShareCalculator localCalculator = new ShareCalculator();

    private final Map<Key, Double> fractions = new HashMap<>();
    private final Map<String, Double> capacities = new HashMap<>();
    private long sharesExpireAtMillis = Long.MIN_VALUE;
    private long capacitiesExpireAtMillis = Long.MIN_VALUE;
    private long created;
    /** Whether any workspace has a weight. */
    private boolean weighted;

    private final Map<CounterKey, Double> credits = new LinkedHashMap<>(16, 0.75F, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CounterKey, Double> eldest) {
            return size() > MAX_COUNTERS;
        }
    };

    /** What is done with a request. */
    public enum Decision {
        /** It is sent as usual. */
        ADMIT,
        /** It is sent with a lower rank, because its workspace is above its share. */
        ADMIT_WITH_LOWER_RANK,
        /** It is refused. */
        REFUSE
    }

    private record Key(String service, String workspace) {}

    /** Requests of similar cost have a counter of their own, so that each kind of request is admitted alike. */
    private record CounterKey(Key key, int costExponent) {}

    /** Creates a limiter of a gateway that knows no shares. */
    public ShareLimiter(String gatewayId) {
        this.gatewayId = gatewayId;
    }

    /** Replaces the weights of workspaces, for the time without the leader. */
    public void weights(Map<String, Integer> weightByWorkspace) {
        localCalculator.weights(weightByWorkspace);
        weighted = !weightByWorkspace.isEmpty();
    }

    /** Replaces the shares by those that the leader sent. */
    public void applyShares(List<ServiceCapacity> contended, List<WorkspaceShare> shares, long receivedAtMillis) {
        fractions.clear();
        shares.forEach(share -> fractions.put(new Key(share.service(), share.workspace()), share.admitFraction()));
        sharesExpireAtMillis = receivedAtMillis + SHARES_VALID_MILLIS;
        if (!contended.isEmpty()) {
            capacities.clear();
            contended.forEach(service -> capacities.put(service.service(), service.costPerSecond()));
            capacitiesExpireAtMillis = receivedAtMillis + CAPACITY_VALID_MILLIS;
        }
    }

    /** Observes the demand at this gateway if that is due, for the time without the leader. */
    public void observe(Supplier<List<WorkspaceDemand>> ownDemand, long nowMillis) {
        if (localCalculator.observationDue(nowMillis)) {
            localCalculator.observe(ownDemand.get(), nowMillis);
        }
    }

    /** Returns whether the shares of the leader are valid. */
    public boolean hasShares(long nowMillis) {
        return nowMillis < sharesExpireAtMillis;
    }

    /**
     * Decides on a request. A request that does not wait is always sent, and so is one whose wait is harmless unless a
     * workspace has a weight.
     *
     * @param gateways number of gateways, at least 1
     */
    public Decision decide(ShareRequest request, int gateways, long nowMillis) {
        OptionalDouble fraction = admitFraction(request.service(), request.workspace(), gateways, nowMillis);
        if (fraction.isEmpty()) {
            return Decision.ADMIT;
        }
        // Requests whose wait is harmless are admitted alike; a weight would count only for the others.
        boolean refusable = weighted ? request.waits() : request.endangered();
        if (!refusable) {
            return Decision.ADMIT_WITH_LOWER_RANK;
        }
        // The shares are up to a second old; a queue that grows meanwhile is drained by those above their share.
        return takeCredit(request, fraction.getAsDouble() * (1 - request.pressure()))
                ? Decision.ADMIT_WITH_LOWER_RANK
                : Decision.REFUSE;
    }

    /** Returns the fraction of its requests that a workspace above its share is admitted with, empty for others. */
    public OptionalDouble admitFraction(String service, String workspace, int gateways, long nowMillis) {
        Key key = new Key(service, workspace);
        Double fraction = hasShares(nowMillis)
                ? fractions.get(key)
                : localFractions(service, gateways, nowMillis).get(workspace);
        return fraction == null ? OptionalDouble.empty() : OptionalDouble.of(fraction);
    }

    private Map<String, Double> localFractions(String service, int gateways, long nowMillis) {
        return localCalculator.contended(nowMillis).stream()
                .filter(observed -> observed.service().equals(service))
                .map(observed -> localCapacity(observed, gateways, nowMillis))
                .flatMap(capacity -> localCalculator.shares(capacity).stream())
                .collect(Collectors.toMap(WorkspaceShare::workspace, WorkspaceShare::admitFraction));
    }

    private ServiceCapacity localCapacity(ServiceCapacity observed, int gateways, long nowMillis) {
        Double ofAllGateways = nowMillis < capacitiesExpireAtMillis ? capacities.get(observed.service()) : null;
        return ofAllGateways == null
                ? observed
                : new ServiceCapacity(observed.service(), ofAllGateways / Math.max(1, gateways));
    }

    /** Adds the credit of one request to its counter and takes a full one from it; returns whether there was one. */
    private boolean takeCredit(ShareRequest request, double fraction) {
        CounterKey key = counterKey(request);
        double credit = credits.computeIfAbsent(key, this::initialCredit) + fraction;
        boolean admitted = credit >= 1;
        credits.put(key, admitted ? Math.min(1, credit - 1) : credit);
        return admitted;
    }

    private static CounterKey counterKey(ShareRequest request) {
        return new CounterKey(
                new Key(request.service(), request.workspace()), Math.getExponent(Math.max(1, request.cost())));
    }

    /**
     * Returns a credit between 0 and 1 that differs between gateways. A gateway sees few requests of each workspace; with
     * equal first credits all gateways would admit, or refuse, the first one.
     */
    private double initialCredit(CounterKey key) {
        return (StableHash.of(gatewayId + "@" + key + "@" + created++) >>> 11) * 0x1.0p-53;
    }
}
