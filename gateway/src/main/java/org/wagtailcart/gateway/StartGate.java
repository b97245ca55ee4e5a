package org.wagtailcart.gateway;

import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.wagtailcart.common.MillisClock;

/**
 * Keeps requests that reach a starting gateway until it knows routes and upstreams, for a short time. A refusal would send
 * callers away whom it can serve a moment later, in particular when all gateways start at once.
 */
final class StartGate {
    /** A control group whose hosts all start at once answers within this time. */
    static final long MAX_WAIT_MILLIS = 1_500;

    private static final long CHECK_MILLIS = 10;

    private record Held(Runnable action, long deadlineMillis) {}

    private final BooleanSupplier known;
    private final ScheduledExecutorService timer;
    private final MillisClock clock;
    private final Queue<Held> held = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean checking = new AtomicBoolean();

    /**
     * Creates a gate.
     *
     * @param known whether requests can be routed
     */
    StartGate(BooleanSupplier known, ScheduledExecutorService timer, MillisClock clock) {
        this.known = known;
        this.timer = timer;
        this.clock = clock;
    }

    /** Runs an action once requests can be routed, or when it has waited for the longest time. */
    void pass(Runnable action) {
        if (known.getAsBoolean()) {
            action.run();
            return;
        }
        held.add(new Held(action, clock.nowMillis() + MAX_WAIT_MILLIS));
        checkLater();
    }

    private void checkLater() {
        if (checking.compareAndSet(false, true)) {
            Future<?> unused = timer.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        checking.set(false);
        boolean open = known.getAsBoolean();
        long nowMillis = clock.nowMillis();
        for (Iterator<Held> all = held.iterator(); all.hasNext(); ) {
            Held next = all.next();
            if (open || next.deadlineMillis() <= nowMillis) {
                all.remove();
                next.action().run();
            }
        }
        if (!held.isEmpty()) {
            checkLater();
        }
    }
}
