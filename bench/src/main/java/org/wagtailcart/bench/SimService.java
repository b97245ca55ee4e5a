package org.wagtailcart.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Simulated replica of a plain service: a queue in front of a fixed number of workers. */
final class SimService {
    static final int MAX_IN_FLIGHT = 16;
    private static final int WORKERS = 4;
    private static final double MEAN_MILLIS = 50;
    /** Time until a call to a hanging replica fails. */
    private static final double HANG_TIMEOUT_MILLIS = 1_000;

    final String id;
    final String domain;
    private final int index;
    private final Scenario scenario;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final Deque<Consumer<Boolean>> queued = new ArrayDeque<>();
    private int busy;

    SimService(int index, String domain, Scenario scenario, EventLoop loop, SplittableRandom random) {
        this.id = "service-" + index;
        this.domain = domain;
        this.index = index;
        this.scenario = scenario;
        this.loop = loop;
        this.random = random;
    }

    boolean isUp() {
        return scenario.serviceState(index, loop.nowMillis()) == ServiceState.UP;
    }

    /** Starts a call; the callback receives whether it succeeded. */
    void call(Consumer<Boolean> done) {
        switch (scenario.serviceState(index, loop.nowMillis())) {
            case FAILING -> done.accept(false);
            case HANGING -> loop.after(HANG_TIMEOUT_MILLIS, () -> done.accept(false));
            case UP -> {
                queued.add(done);
                startNext();
            }
        }
    }

    private void startNext() {
        if (busy >= WORKERS || queued.isEmpty()) {
            return;
        }
        busy++;
        Consumer<Boolean> done = queued.remove();
        loop.after(-MEAN_MILLIS * Math.log(1 - random.nextDouble()), () -> {
            busy--;
            done.accept(true);
            startNext();
        });
    }
}
