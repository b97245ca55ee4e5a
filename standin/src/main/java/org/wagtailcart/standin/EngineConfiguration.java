package org.wagtailcart.standin;

import java.util.ArrayList;
import java.util.List;
import org.wagtailcart.common.EngineTarget;

/** Configuration of a stand-in engine, its fencing token and the orders received since it was created. */
final class EngineConfiguration {
    /** State of an engine as {@code /engine/state} reports it. */
    record State(String role, String model, String adapter, String version, long fencingToken, boolean changing) {}

    private final boolean checksFencing;
    private final EngineTarget initial;
    private final List<OrderRecord> orders = new ArrayList<>();
    private EngineTarget target;
    private long fencingToken;
    private boolean changing;
    private int startCount;

    EngineConfiguration(EngineTarget initial, boolean checksFencing) {
        this.initial = initial;
        this.target = initial;
        this.checksFencing = checksFencing;
    }

    /** Resets everything but the received orders, as a process start does; returns the number of this start, from 1. */
    synchronized int restart() {
        target = initial;
        fencingToken = 0;
        changing = false;
        return ++startCount;
    }

    /** Records an order and accepts or refuses it; an accepted one begins a change of the configuration. */
    synchronized OrderRecord receive(OrderBody order) {
        long highest =
                orders.stream().mapToLong(OrderRecord::fencingToken).max().orElse(0);
        boolean stale = order.fencingToken() < highest;
        boolean refused = checksFencing && (order.fencingToken() <= fencingToken || changing);
        OrderRecord received = new OrderRecord(
                orders.size() + 1, order.fencingToken(), order.target().toString(), !refused, stale, changing);
        orders.add(received);
        if (!refused) {
            fencingToken = order.fencingToken();
            changing = true;
        }
        return received;
    }

    /** Completes a change unless the engine has been restarted since the given start. */
    synchronized void complete(int startNumber, EngineTarget next) {
        if (startNumber == startCount) {
            target = next;
            changing = false;
        }
    }

    synchronized int startNumber() {
        return startCount;
    }

    synchronized EngineTarget target() {
        return target;
    }

    synchronized boolean changing() {
        return changing;
    }

    synchronized State state() {
        return new State(
                target.role().settingName(),
                target.model(),
                target.adapter(),
                target.version(),
                fencingToken,
                changing);
    }

    synchronized List<OrderRecord> orders() {
        return List.copyOf(orders);
    }
}
