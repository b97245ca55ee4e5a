package org.wagtailcart.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Simulated power feed shared by all engines, with a limit that they cannot read. While more engines than the limit run
 * above the soft limit, all are throttled; when the excess lasts, the feed trips and the engines beyond the limit crash.
 */
final class PowerFeed {
    /** Time after a change of the limit that is excluded from {@link #overloadShare}, as the controller adapts. */
    private static final long ADAPTATION_MILLIS = 15_000;

    private final Scenario scenario;
    private final EventLoop loop;
    private final Set<SimEngine> hard = new HashSet<>();
    private double updatedMillis;
    private double excessSinceMillis = Double.POSITIVE_INFINITY;
    private double overloadMillis;
    private double countedMillis;

    PowerFeed(Scenario scenario, EventLoop loop) {
        this.scenario = scenario;
        this.loop = loop;
    }

    /** Records whether an engine runs above the soft limit from now on. */
    void update(SimEngine engine, boolean isAboveSoftLimit) {
        integrate();
        if (isAboveSoftLimit) {
            hard.add(engine);
        } else {
            hard.remove(engine);
        }
        updateTrip();
    }

    /** Returns the factor on the speed of all engines. */
    double speed() {
        return hard.size() > limit() ? CostModel.THROTTLED_SPEED : 1;
    }

    /** Returns the share of the counted time with power overload. */
    double overloadShare() {
        return countedMillis == 0 ? 0 : overloadMillis / countedMillis;
    }

    private int limit() {
        return scenario.powerLimit(loop.nowMillis());
    }

    private void integrate() {
        double span = loop.now() - updatedMillis;
        updatedMillis = loop.now();
        long now = loop.nowMillis();
        boolean learning = now < Scenario.WARM_UP_MILLIS
                || scenario.powerChanges().stream().anyMatch(at -> now >= at && now < at + ADAPTATION_MILLIS);
        if (!learning) {
            countedMillis += span;
            overloadMillis += hard.size() > limit() ? span : 0;
        }
    }

    private void updateTrip() {
        boolean excess = hard.size() > (long) limit() + CostModel.TRIP_EXCESS_ENGINES;
        if (!excess) {
            excessSinceMillis = Double.POSITIVE_INFINITY;
        } else if (Double.isInfinite(excessSinceMillis)) {
            excessSinceMillis = loop.now();
        } else if (loop.now() - excessSinceMillis > CostModel.TRIP_DELAY_MILLIS) {
            List<SimEngine> aboveSoftLimit = new ArrayList<>(hard);
            aboveSoftLimit.sort((a, b) -> a.id.compareTo(b.id));
            excessSinceMillis = Double.POSITIVE_INFINITY;
            aboveSoftLimit.subList(limit(), aboveSoftLimit.size()).forEach(engine -> {
                engine.crash();
                loop.after(CostModel.RESTART_MILLIS, engine::restart);
            });
        }
    }
}
