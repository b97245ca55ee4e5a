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
        boolean probeFailed = provenBeforeProbe > 0;
        ceiling = Math.max(1, probeFailed ? allowance : Math.min(allowance, Math.max(1, hardCount())));
        allowance = probeFailed ? provenBeforeProbe : (int) (ceiling * BACKOFF);
        if (probeFailed) {
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
            ceilingRetryMillis = Math.min(options.lastCeilingRetryMillis(), 2 * ceilingRetryMillis);
        } else {
            ceilingRetryMillis = options.firstCeilingRetryMillis();
            ceilingRetryAtMillis = nowMillis + ceilingRetryMillis;
        }
        provenBeforeProbe = 0;
        settledMillis = nowMillis + options.settleMillis();
        nextProbeMillis = settledMillis + options.probeMillis();
    }

    private void confirmProbe(long nowMillis) {
        if (provenBeforeProbe > 0 && nowMillis >= probeProvenAtMillis && hardCount() >= allowance) {
            provenBeforeProbe = 0;
            if (allowance >= ceiling) {
                ceiling = Integer.MAX_VALUE;
                ceilingRetryMillis = options.firstCeilingRetryMillis();
            }
        }
    }

    private void probe(long nowMillis) {
        boolean used = hardCount() >= allowance;
        boolean allowed = allowance + 1 < ceiling || nowMillis >= ceilingRetryAtMillis;
        boolean possible = allowance < engines.size();
        if (provenBeforeProbe == 0 && nowMillis >= nextProbeMillis && used && allowed && possible) {
            provenBeforeProbe = Math.max(1, allowance);
            allowance++;
            // A step proves itself once reports from after it have arrived.
            probeProvenAtMillis = nowMillis + options.settleMillis();
            nextProbeMillis = nowMillis + options.probeMillis();
        }
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
