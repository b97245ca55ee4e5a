package org.wagtailcart.gateway.list;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.placement.PrefillRateEstimate;

/**
 * Prefill rates of the engines in the host list: those of all gateways as the control group replies them, and those
 * learned by this gateway, which apply without contact to the group. Does no I/O; not thread safe.
 */
final class LearnedEngineRates {
    /** Time without a reply after which own samples take precedence; a poll takes at most 250 ms. */
    static final long CONTACT_MILLIS = 3_000;

    /** Limit on the rates in a message, at most 12 KB. */
    static final int MAX_RATES_PER_MESSAGE = 400;

    private final Map<String, PrefillRateEstimate> ownById = new HashMap<>();
    private final Map<String, Double> sharedById = new HashMap<>();
    private final Map<String, List<Double>> unsentSamplesById = new LinkedHashMap<>();
    private final Set<String> unsentIds = new LinkedHashSet<>();
    private long repliedAtMillis = Long.MIN_VALUE / 4;
    private long version;
    /** Whether shared rates were forgotten since the last poll, so that its reply lacks some that the member has. */
    private boolean forgotten;

    /** Records the rate that a prefill of an engine showed. */
    void record(String engineId, double tokensPerMilli, long nowMillis) {
        ownById.computeIfAbsent(engineId, id -> new PrefillRateEstimate()).record(tokensPerMilli, 1, nowMillis);
        List<Double> samples = unsentSamplesById.computeIfAbsent(engineId, id -> new ArrayList<>());
        if (samples.size() < MAX_RATES_PER_MESSAGE) {
            samples.add(tokensPerMilli);
        }
    }

    /** Returns the rate of an engine in tokens per millisecond, or empty if nothing is known of it. */
    OptionalDouble tokensPerMilli(String engineId, long nowMillis) {
        Double shared = sharedById.get(engineId);
        PrefillRateEstimate own = ownById.get(engineId);
        boolean inContact = nowMillis - repliedAtMillis <= CONTACT_MILLIS;
        boolean ownApplies = (shared == null || !inContact)
                && own != null
                && own.samples(nowMillis) >= PrefillRateEstimate.MIN_SAMPLES;
        if (own != null && ownApplies) {
            return own.tokensPerMilli(nowMillis);
        }
        if (shared != null) {
            return OptionalDouble.of(shared);
        }
        return own == null ? OptionalDouble.empty() : own.tokensPerMilli(nowMillis);
    }

    /** Returns the number of recent samples of this gateway of an engine. */
    int ownSamples(String engineId, long nowMillis) {
        PrefillRateEstimate own = ownById.get(engineId);
        return own == null ? 0 : own.samples(nowMillis);
    }

    /**
     * Removes and returns what the polled member has not been sent yet: the median of the new samples of each engine
     * and, after a change of member, all rates known, with a sample count of 0.
     */
    List<EngineRate> drainUpdates(long nowMillis) {
        forgotten = false;
        List<EngineRate> updates = new ArrayList<>();
        unsentSamplesById.forEach((id, samples) -> updates.add(new EngineRate(id, median(samples), samples.size())));
        unsentSamplesById.clear();
        List<String> taken = unsentIds.stream()
                .limit(Math.max(0, MAX_RATES_PER_MESSAGE - updates.size()))
                .toList();
        taken.forEach(id -> {
            unsentIds.remove(id);
            tokensPerMilli(id, nowMillis).ifPresent(rate -> updates.add(new EngineRate(id, rate, 0)));
        });
        return updates;
    }

    /** Prepares for polls of a member whose state is unknown: it gets all known rates, and is asked for all. */
    void memberChanged() {
        version = 0;
        unsentIds.addAll(sharedById.keySet());
        unsentIds.addAll(ownById.keySet());
    }

    /** Returns the version of the rates in the last reply of the polled member, 0 for none. */
    long version() {
        return version;
    }

    /** Applies the rates in the reply to a poll, with which the updates drained last were sent. */
    void apply(List<EngineRate> rates, long latestVersion, long nowMillis) {
        rates.forEach(rate -> sharedById.put(rate.instanceId(), rate.tokensPerMilli()));
        version = forgotten ? 0 : latestVersion;
        repliedAtMillis = nowMillis;
    }

    /** Forgets all engines except those listed; another instance at the same address starts without a rate. */
    void retain(Set<String> engineIds) {
        ownById.keySet().retainAll(engineIds);
        unsentSamplesById.keySet().retainAll(engineIds);
        unsentIds.retainAll(engineIds);
        if (sharedById.keySet().retainAll(engineIds)) {
            // The engine may return to the list; the member sends its rate again only if it is asked for all.
            version = 0;
            forgotten = true;
        }
    }

    private static double median(List<Double> samples) {
        double[] sorted = samples.stream()
                .mapToDouble(sample -> Objects.requireNonNull(sample))
                .sorted()
                .toArray();
        return sorted[sorted.length / 2];
    }
}
