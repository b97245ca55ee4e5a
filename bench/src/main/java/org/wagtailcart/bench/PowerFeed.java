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
    /** Time after a change of the limit that is excluded from {@link #overShare}, as the controller adapts. */
    private static final long LEARNING_MILLIS = 15_000;

    private final Scenario scenario;
    private final EventLoop loop;
    private final Set<FakeEngine> hard = new HashSet<>();
    private double updatedMillis;
    private double tripSinceMillis = Double.POSITIVE_INFINITY;
    private double overMillis;
    private double countedMillis;

    PowerFeed(Scenario scenario, EventLoop loop) {
        this.scenario = scenario;
        this.loop = loop;
    }

    /** Records whether an engine runs above the soft limit from now on. */
    void update(FakeEngine engine, boolean runsHard) {
        integrate();
        if (runsHard) {
            hard.add(engine);
        } else {
            hard.remove(engine);
        }
        watchTrip();
    }

    /** Returns the factor on the speed of all engines. */
    double speed() {
        return hard.size() > limit() ? CostModel.THROTTLED_SPEED : 1;
    }

    /** Returns the share of the counted time with power overload. */
    double overShare() {
        return countedMillis == 0 ? 0 : overMillis / countedMillis;
    }

    private int limit() {
        return scenario.powerLimit(loop.nowMillis());
    }

    private void integrate() {
        double span = loop.now() - updatedMillis;
        updatedMillis = loop.now();
        long now = loop.nowMillis();
        boolean learning = now < Scenario.WARM_UP_MILLIS
                || scenario.powerChanges().stream().anyMatch(at -> now >= at && now < at + LEARNING_MILLIS);
        if (!learning) {
            countedMillis += span;
            overMillis += hard.size() > limit() ? span : 0;
        }
    }

    private void watchTrip() {
        boolean excess = hard.size() > (long) limit() + CostModel.TRIP_EXCESS;
        if (!excess) {
            tripSinceMillis = Double.POSITIVE_INFINITY;
        } else if (Double.isInfinite(tripSinceMillis)) {
            tripSinceMillis = loop.now();
        } else if (loop.now() - tripSinceMillis > CostModel.TRIP_MILLIS) {
            List<FakeEngine> aboveSoftLimit = new ArrayList<>(hard);
            aboveSoftLimit.sort((a, b) -> a.id.compareTo(b.id));
            tripSinceMillis = Double.POSITIVE_INFINITY;
            aboveSoftLimit.subList(limit(), aboveSoftLimit.size()).forEach(engine -> {
                engine.crash();
                loop.after(CostModel.RESTART_MILLIS, engine::restart);
            });
        }
    }
}
