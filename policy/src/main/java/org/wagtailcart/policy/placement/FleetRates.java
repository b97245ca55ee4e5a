package org.wagtailcart.policy.placement;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.DoublePredicate;
import java.util.stream.Collectors;

/**
 * Prefill rates of all engines of a service. Differences too small to matter are removed, so that a uniform fleet is
 * served as if nothing had been learned. Immutable.
 */
public final class FleetRates {
    /**
     * Rate of an engine of speed 1 in the prefill role, in prompt tokens per millisecond. The median of the learned rates
     * is lower under load, because they contain waits that gateways do not know of; only their ratios tell the speeds.
     */
    public static final double DEFAULT_TOKENS_PER_MILLI = 50;

    /** Rates of a service of which nothing is known. */
    public static final FleetRates DEFAULT = new FleetRates(Map.of(), DEFAULT_TOKENS_PER_MILLI);

    /** Relative difference up to which two rates count as equal; waits that gateways do not know of shift them so much. */
    static final double DEAD_BAND = 0.4;

    /**
     * Share of the engines with a known rate that must differ from the median for speeds to count at all. Fewer have a
     * fault or a hidden queue; placement by speed gives up the concentration of segments that serves a uniform fleet.
     */
    static final double MIN_DIFFERING_SHARE = 0.25;

    /** Bound on the ratio of an engine's rate to the median of its service; a larger one indicates wrong samples. */
    static final double MAX_RATIO = 4;

    /** Engines with a known rate needed for a median of the service. */
    static final int MIN_ENGINES = 3;

    private final Map<String, Double> speedById;
    private final double medianTokensPerMilli;
    private final double maxSpeed;

    private FleetRates(Map<String, Double> speedById, double medianTokensPerMilli) {
        this.speedById = speedById;
        this.medianTokensPerMilli = medianTokensPerMilli;
        this.maxSpeed = speedById.values().stream().reduce(1.0, Math::max);
    }

    /**
     * Returns the rates of a service.
     *
     * @param tokensPerMilliById learned rates; engines of which nothing is known are missing
     */
    public static FleetRates of(Map<String, Double> tokensPerMilliById) {
        if (tokensPerMilliById.isEmpty()) {
            return DEFAULT;
        }
        double median = tokensPerMilliById.size() < MIN_ENGINES
                ? DEFAULT_TOKENS_PER_MILLI
                : median(tokensPerMilliById.values());
        Map<String, Double> speeds = tokensPerMilliById.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> speed(entry.getValue() / median)));
        long differing = speeds.values().stream().filter(speed -> speed != 1).count();
        return new FleetRates(differing < MIN_DIFFERING_SHARE * speeds.size() ? Map.of() : speeds, median);
    }

    /** Returns the rate of an engine relative to the median, 1 when they are about equal. */
    public double speed(String engineId) {
        return speedById.getOrDefault(engineId, 1.0);
    }

    /**
     * Returns the relative rate with which an engine competes for prompts. An engine of which nothing is known counts as
     * the fastest; with the median it would get too few prompts at low load for its rate ever to be learned.
     */
    public double prefillSpeed(String engineId) {
        return speedById.getOrDefault(engineId, maxSpeed);
    }

    /** Returns the rate of an engine in the prefill role. */
    public double tokensPerMilli(String engineId) {
        return DEFAULT_TOKENS_PER_MILLI * speed(engineId);
    }

    /** Returns the rate that an engine in the prefill role has shown, for operators. */
    public double learnedTokensPerMilli(String engineId) {
        return medianTokensPerMilli * speed(engineId);
    }

    /** Returns a summary for operators. */
    public Summary summary() {
        return new Summary(
                Math.round(medianTokensPerMilli),
                idsWhere(speed -> speed > 1),
                idsWhere(speed -> speed < 1),
                maxSpeed,
                speedById.values().stream().reduce(1.0, Math::min));
    }

    /**
     * Rates of a service as shown to operators.
     *
     * @param tokensPerMilli median rate
     * @param fasterIds engines with a higher rate, beyond the dead band
     * @param slowerIds engines with a lower rate, beyond the dead band
     * @param maxSpeed highest rate relative to the median
     * @param minSpeed lowest rate relative to the median
     */
    public record Summary(
            long tokensPerMilli, Set<String> fasterIds, Set<String> slowerIds, double maxSpeed, double minSpeed) {
        /** Returns whether other engines are faster or slower; the median changes with the load and does not count. */
        public boolean differsFrom(Summary other) {
            return !fasterIds.equals(other.fasterIds) || !slowerIds.equals(other.slowerIds);
        }
    }

    private Set<String> idsWhere(DoublePredicate condition) {
        return speedById.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static double speed(double ratio) {
        return withinDeadBand(ratio) ? 1 : Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
    }

    private static boolean withinDeadBand(double ratio) {
        return Math.abs(ratio - 1) <= DEAD_BAND;
    }

    private static double median(Collection<Double> rates) {
        double[] sorted =
                rates.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }
}
