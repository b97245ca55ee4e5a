package org.wagtailcart.policy.power;

import java.util.List;
import org.wagtailcart.policy.EngineObservation;

/**
 * Estimates how many engines may run hard at once and hands out grants for that many. Steps up one engine at a time
 * while the grants are used, steps down at once under strain. Not thread safe.
 */
public final class PowerController {
    /** Share kept when strain appears without a step up just before it: the limit itself has fallen. */
    private static final double BACKOFF = 0.75;

    /** Share of the allowance in use at which waiting requests justify a step up. */
    private static final double MOSTLY_USED = 0.75;

    /** Settle times after which a step that load does not use no longer holds up the next one. */
    private static final int IDLE_SETTLES = 4;

    private final PowerOptions options;
    private final StrainDetector detector;
    private final GrantBook grants;
    private List<EngineObservation> engines = List.of();
    private int allowance;
    /** Lowest count that showed strain. */
    private int ceiling = Integer.MAX_VALUE;

    private long ceilingRetryMillis;
    private long ceilingRetryAtMillis;
    private long nextProbeMillis;
    private long settledMillis;
    /** Count in force before the last step up; 0 when that step has proved itself. */
    private int provenBeforeProbe;

    private long probeProvenAtMillis;

    public PowerController(PowerOptions options) {
        this.options = options;
        this.detector = new StrainDetector(options);
        this.grants = new GrantBook(options.grantMillis());
        this.allowance = options.initialAllowance();
        this.ceilingRetryMillis = options.firstCeilingRetryMillis();
    }

    /** Returns the number of engines that may run hard at once. */
    public int allowance() {
        return allowance;
    }

    /** Takes in the newest known state of every engine and adapts the allowance. */
    public void observe(List<EngineObservation> observations, long nowMillis) {
        engines = List.copyOf(observations);
        boolean strained = detector.observe(engines, nowMillis);
        if (strained && nowMillis >= settledMillis) {
            backOff(nowMillis);
        } else if (!strained) {
            confirmProbe(nowMillis);
            probe(nowMillis);
        }
    }

    private void backOff(long nowMillis) {
        if (provenBeforeProbe > 0) {
            ceiling = allowance;
            allowance = provenBeforeProbe;
            ceilingRetryMillis = Math.min(options.lastCeilingRetryMillis(), 2 * ceilingRetryMillis);
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
        } else {
            // The reports may describe more engines than the allowance, from before the step down.
            ceiling = Math.max(allowance, hardCount());
            allowance = Math.max(1, Math.min(allowance - 1, (int) (hardCount() * BACKOFF)));
            ceilingRetryMillis = options.firstCeilingRetryMillis();
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
        }
        provenBeforeProbe = 0;
        settledMillis = nowMillis + options.settleMillis();
        nextProbeMillis = settledMillis + options.probeMillis();
    }

    private void confirmProbe(long nowMillis) {
        boolean used = hardCount() >= allowance;
        boolean idle = nowMillis >= probeProvenAtMillis + IDLE_SETTLES * options.settleMillis();
        if (provenBeforeProbe > 0 && nowMillis >= probeProvenAtMillis && (used || idle)) {
            provenBeforeProbe = 0;
        }
        boolean settled = nowMillis >= settledMillis && provenBeforeProbe == 0;
        if (settled && allowance >= ceiling && hardCount() >= ceiling) {
            ceiling = Integer.MAX_VALUE;
            ceilingRetryMillis = options.firstCeilingRetryMillis();
        }
    }

    private void probe(long nowMillis) {
        boolean allowed = allowance + 1 < ceiling || nowMillis >= ceilingRetryAtMillis;
        boolean possible = allowance < engines.size();
        if (provenBeforeProbe == 0 && nowMillis >= nextProbeMillis && wanted() && allowed && possible) {
            provenBeforeProbe = Math.max(1, allowance);
            allowance++;
            // A step proves itself once reports from after it have arrived.
            probeProvenAtMillis = nowMillis + options.settleMillis();
            nextProbeMillis = nowMillis + options.probeMillis();
        }
    }

    /** Returns whether another grant would be used: nearly all are, or requests wait at engines without one. */
    private boolean wanted() {
        boolean waiting =
                engines.stream().anyMatch(engine -> engine.inService() && !engine.hard() && engine.queued() > 0);
        return hardCount() >= allowance - 1 || (waiting && hardCount() >= MOSTLY_USED * allowance);
    }

    private int hardCount() {
        return (int) engines.stream()
                .filter(engine -> engine.inService() && engine.hard())
                .count();
    }

    /** Returns the grants in force, with renewed deadlines. */
    public List<EngineGrant> grants(long nowMillis) {
        return grants.grants(engines, allowance, nowMillis);
    }
}
