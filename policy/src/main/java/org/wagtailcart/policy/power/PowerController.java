package org.wagtailcart.policy.power;

import java.util.List;
import org.wagtailcart.policy.EngineObservation;

/**
 * Controller that estimates how many engines may run above the soft limit at once and issues grants for that many. It
 * raises the allowance by one engine at a time while the grants are used, and lowers it at once on a power overload.
 * Not thread safe.
 */
public final class PowerController {
    /**
     * Share of the engines above the soft limit that is kept after an overload without a preceding probe, which means
     * that the power limit itself has fallen.
     */
    private static final double BACKOFF_FACTOR = 0.75;

    /** Share of the allowance in use from which queued requests justify a probe. */
    private static final double MIN_USAGE_TO_PROBE = 0.75;

    /** Settle times after which a probe whose grant is unused counts as confirmed, so that the next one can follow. */
    private static final int IDLE_SETTLE_PERIODS = 4;

    private final PowerOptions options;
    private final PowerOverloadDetector detector;
    private final GrantAllocator grants;
    private List<EngineObservation> engines = List.of();
    private int allowance;
    /** Lowest allowance at which an overload was detected. */
    private int ceiling = Integer.MAX_VALUE;

    private long ceilingRetryMillis;
    private long ceilingRetryAtMillis;
    private long nextProbeAtMillis;
    private long settledAtMillis;
    /** Allowance before the latest probe; 0 when that probe is confirmed. */
    private int allowanceBeforeProbe;

    private long probeConfirmableAtMillis;

    public PowerController(PowerOptions options) {
        this.options = options;
        this.detector = new PowerOverloadDetector(options);
        this.grants = new GrantAllocator(options.grantMillis());
        this.allowance = options.initialAllowance();
        this.ceilingRetryMillis = options.initialCeilingRetryMillis();
    }

    /** Returns the number of engines that may run above the soft limit at once. */
    public int allowance() {
        return allowance;
    }

    /** Adjusts the allowance to the latest state of every engine. */
    public void observe(List<EngineObservation> observations, long nowMillis) {
        engines = List.copyOf(observations);
        boolean overloaded = detector.observe(engines, nowMillis);
        if (overloaded && nowMillis >= settledAtMillis) {
            backOff(nowMillis);
        } else if (!overloaded) {
            confirmProbe(nowMillis);
            probe(nowMillis);
        }
    }

    private void backOff(long nowMillis) {
        if (allowanceBeforeProbe > 0) {
            ceiling = allowance;
            allowance = allowanceBeforeProbe;
            ceilingRetryMillis = Math.min(options.maxCeilingRetryMillis(), 2 * ceilingRetryMillis);
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
        } else {
            // The reports may show more engines above the soft limit than the allowance, from before it was lowered.
            ceiling = Math.max(allowance, aboveSoftLimitCount());
            allowance = Math.max(1, Math.min(allowance - 1, (int) (aboveSoftLimitCount() * BACKOFF_FACTOR)));
            ceilingRetryMillis = options.initialCeilingRetryMillis();
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
        }
        allowanceBeforeProbe = 0;
        settledAtMillis = nowMillis + options.settleMillis();
        nextProbeAtMillis = settledAtMillis + options.probeIntervalMillis();
    }

    private void confirmProbe(long nowMillis) {
        boolean used = aboveSoftLimitCount() >= allowance;
        boolean idle = nowMillis >= probeConfirmableAtMillis + IDLE_SETTLE_PERIODS * options.settleMillis();
        if (allowanceBeforeProbe > 0 && nowMillis >= probeConfirmableAtMillis && (used || idle)) {
            allowanceBeforeProbe = 0;
        }
        boolean settled = nowMillis >= settledAtMillis && allowanceBeforeProbe == 0;
        if (settled && allowance >= ceiling && aboveSoftLimitCount() >= ceiling) {
            ceiling = Integer.MAX_VALUE;
            ceilingRetryMillis = options.initialCeilingRetryMillis();
        }
    }

    private void probe(long nowMillis) {
        boolean allowed = allowance + 1 < ceiling || nowMillis >= ceilingRetryAtMillis;
        boolean possible = allowance < engines.size();
        if (allowanceBeforeProbe == 0 && nowMillis >= nextProbeAtMillis && hasUnmetDemand() && allowed && possible) {
            allowanceBeforeProbe = Math.max(1, allowance);
            allowance++;
            // A probe can be confirmed once reports from after it have arrived.
            probeConfirmableAtMillis = nowMillis + options.settleMillis();
            nextProbeAtMillis = nowMillis + options.probeIntervalMillis();
        }
    }

    /** Returns whether another grant would be used: nearly all are, or requests are queued at engines without one. */
    private boolean hasUnmetDemand() {
        boolean queued = engines.stream()
                .anyMatch(engine -> engine.inService() && !engine.aboveSoftLimit() && engine.queued() > 0);
        return aboveSoftLimitCount() >= allowance - 1
                || (queued && aboveSoftLimitCount() >= MIN_USAGE_TO_PROBE * allowance);
    }

    private int aboveSoftLimitCount() {
        return (int) engines.stream()
                .filter(engine -> engine.inService() && engine.aboveSoftLimit())
                .count();
    }

    /** Allocates the grants of the current allowance and returns them with renewed deadlines. */
    public List<EngineGrant> grants(long nowMillis) {
        return grants.allocate(engines, allowance, nowMillis);
    }
}
