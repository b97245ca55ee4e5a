package org.wagtailcart.policy.power;

import java.util.List;
import org.wagtailcart.policy.EngineObservation;

/**
 * Estimates how many engines may run hard at once and hands out grants for that many. Steps up one engine at a time
 * while the grants are used, steps down at once under strain. Not thread safe.
 */
public final class PowerController {
    /** Share kept when strain appears without a step up just before it: the limit itself has fallen. */
    private static final double BACKOFF_FACTOR = 0.75;

    /** Share of the allowance in use at which waiting requests justify a step up. */
    private static final double MIN_USE_TO_PROBE = 0.75;

    /** Settle times after which a step that load does not use no longer holds up the next one. */
    private static final int IDLE_SETTLE_PERIODS = 4;

    private final PowerOptions options;
    private final PowerOverloadDetector detector;
    private final GrantAllocator grants;
    private List<EngineObservation> engines = List.of();
    private int allowance;
    /** Lowest count that showed strain. */
    private int ceiling = Integer.MAX_VALUE;

    private long ceilingRetryMillis;
    private long ceilingRetryAtMillis;
    private long nextProbeAtMillis;
    private long settledAtMillis;
    /** Count in force before the last step up; 0 when that step has proved itself. */
    private int allowanceBeforeProbe;

    private long probeConfirmableAtMillis;

    public PowerController(PowerOptions options) {
        this.options = options;
        this.detector = new PowerOverloadDetector(options);
        this.grants = new GrantAllocator(options.grantMillis());
        this.allowance = options.initialAllowance();
        this.ceilingRetryMillis = options.initialCeilingRetryMillis();
    }

    /** Returns the number of engines that may run hard at once. */
    public int allowance() {
        return allowance;
    }

    /** Takes in the newest known state of every engine and adapts the allowance. */
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
            // The reports may describe more engines than the allowance, from before the step down.
            ceiling = Math.max(allowance, aboveSoftLimitCount());
            allowance = Math.max(1, Math.min(allowance - 1, (int) (aboveSoftLimitCount() * BACKOFF_FACTOR)));
            ceilingRetryMillis = options.initialCeilingRetryMillis();
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
        }
        allowanceBeforeProbe = 0;
        settledAtMillis = nowMillis + options.settleMillis();
        nextProbeAtMillis = settledAtMillis + options.probeMillis();
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
            // A step proves itself once reports from after it have arrived.
            probeConfirmableAtMillis = nowMillis + options.settleMillis();
            nextProbeAtMillis = nowMillis + options.probeMillis();
        }
    }

    /** Returns whether another grant would be used: nearly all are, or requests wait at engines without one. */
    private boolean hasUnmetDemand() {
        boolean waiting = engines.stream()
                .anyMatch(engine -> engine.inService() && !engine.aboveSoftLimit() && engine.queued() > 0);
        return aboveSoftLimitCount() >= allowance - 1
                || (waiting && aboveSoftLimitCount() >= MIN_USE_TO_PROBE * allowance);
    }

    private int aboveSoftLimitCount() {
        return (int) engines.stream()
                .filter(engine -> engine.inService() && engine.aboveSoftLimit())
                .count();
    }

    /** Returns the grants in force, with renewed deadlines. */
    public List<EngineGrant> grants(long nowMillis) {
        return grants.allocate(engines, allowance, nowMillis);
    }
}
