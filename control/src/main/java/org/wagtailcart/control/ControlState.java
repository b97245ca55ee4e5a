package org.wagtailcart.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.CommandError;
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.orders.AcquireOrderLease;
import org.wagtailcart.control.orders.OrderLease;
import org.wagtailcart.coordination.StateMachine;
import org.wagtailcart.fleet.BeginOrder;
import org.wagtailcart.fleet.FinishOrder;
import org.wagtailcart.fleet.FleetState;
import org.wagtailcart.fleet.IssueOrder;
import org.wagtailcart.fleet.RegisterSidecar;
import org.wagtailcart.fleet.SetLifecycle;
import org.wagtailcart.routes.ReadRoutes;
import org.wagtailcart.routes.ReplaceRoutes;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.RoutesReplaced;
import org.wagtailcart.routes.RoutesState;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;
import org.wagtailcart.settings.SettingsState;
import org.wagtailcart.usage.CloseUsageWindow;
import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.MarkUsageReported;
import org.wagtailcart.usage.UsageState;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;

/**
 * Replicated state machine of the control group, composed of settings, fleet, idempotency keys, routes, the order
 * lease and usage windows. Commands are encoded {@link CommandRequest}s.
 */
public final class ControlState implements StateMachine {
    /** Encoded snapshot. The nullable parts are null in snapshots written before they were part of the state. */
    record Snapshot(
            long appliedIndex,
            byte[] settings,
            byte[] fleet,
            byte[] keys,
            byte @Nullable [] routes,
            @Nullable OrderLease orderLease,
            @Nullable UsageState usage) {}

    private static final Logger LOG = System.getLogger(ControlState.class.getName());
    private static final int ENVELOPE_TYPE = 502;
    private static final int SNAPSHOT_TYPE = 590;
    private static final MessageCodec SNAPSHOT_CODEC =
            new MessageCodec(List.of(List.of(new MessageType(SNAPSHOT_TYPE, Snapshot.class))));

    private final MessageCodec codec;
    private final KeyStateMachine keys;
    private final SettingsState settings = new SettingsState();
    private final FleetState fleet = new FleetState();
    private final RoutesState routes = new RoutesState();
    private volatile RouteTable publishedRoutes = RouteTable.EMPTY;
    private volatile OrderLease orderLease = OrderLease.NONE;
    private volatile UsageState usage = UsageState.EMPTY;
    private volatile Runnable routesListener = () -> {};
    private volatile PublishedState published = new PublishedState(0, settings.history(), fleet.view());

    /**
     * Creates an empty state machine.
     *
     * @param codec codec with the messages of settings, fleet, keys and control
     */
    public ControlState(MessageCodec codec, KeyStateMachine keys) {
        this.codec = codec;
        this.keys = keys;
    }

    /** Returns the state after the latest applied command. May be called by any thread. */
    public PublishedState published() {
        return published;
    }

    /** Returns the routing table in force. May be called by any thread. */
    public RouteTable routes() {
        return publishedRoutes;
    }

    /** Returns the current order lease. May be called by any thread. */
    public OrderLease orderLease() {
        return orderLease;
    }

    /** Returns the closed usage windows. May be called by any thread. */
    public UsageState usage() {
        return usage;
    }

    /**
     * Sets the action that runs after each change of the routing table, replacing any earlier one. It runs on the
     * control thread and must not block.
     */
    public void onRoutesChanged(Runnable action) {
        routesListener = action;
    }

    /** Returns the result of a query about keys or routes. Called on the control thread only. */
    public Object lookup(Object query) {
        if (query instanceof ReadRoutes) {
            return routes.document();
        }
        return keys.lookup(query);
    }

    @Override
    public Object apply(long index, long timeMillis, byte[] command) {
        try {
            CommandRequest envelope = (CommandRequest) codec.decode(ENVELOPE_TYPE, command);
            Object result = dispatch(index, timeMillis, codec.decode(envelope.typeNumber(), envelope.command()));
            published = new PublishedState(index, settings.history(), fleet.view());
            return result;
        } catch (WagtailcartException e) {
            return CommandError.of(e);
        } catch (RuntimeException e) {
            // Every member applies a committed command, so stopping on an error would stop the entire group.
            LOG.log(Level.ERROR, LogEvent.of("command-failed", "index", index, "reason", e), e);
            return CommandError.of(new WagtailcartException(
                    ResultCode.INTERNAL_ERROR, "command at log index " + index + " failed: " + e));
        }
    }

    @Override
    public byte[] snapshot() {
        return SNAPSHOT_CODEC.encode(new Snapshot(
                published.appliedIndex(),
                settings.snapshot(),
                fleet.snapshot(),
                keys.snapshot(),
                routes.snapshot(),
                orderLease,
                usage));
    }

    @Override
    public void restore(byte[] bytes) {
        Snapshot snapshot = (Snapshot) SNAPSHOT_CODEC.decode(SNAPSHOT_TYPE, bytes);
        settings.restore(snapshot.settings());
        fleet.restore(snapshot.fleet(), settings.tree());
        keys.restore(snapshot.keys());
        byte[] savedRoutes = snapshot.routes();
        routes.restore(savedRoutes == null ? new byte[0] : savedRoutes);
        OrderLease savedLease = snapshot.orderLease();
        orderLease = savedLease == null ? OrderLease.NONE : savedLease;
        UsageState savedUsage = snapshot.usage();
        usage = savedUsage == null ? UsageState.EMPTY : savedUsage;
        published = new PublishedState(snapshot.appliedIndex(), settings.history(), fleet.view());
        publishRoutes();
    }

    private void publishRoutes() {
        publishedRoutes = routes.table();
        routesListener.run();
    }

    private Object dispatch(long index, long timeMillis, Object command) {
        if (command instanceof ApplySettings apply) {
            return applySettings(index, timeMillis, apply);
        }
        if (command instanceof ReplaceRoutes replace) {
            RoutesReplaced result = routes.apply(replace);
            publishRoutes();
            return result;
        }
        if (command instanceof AcquireOrderLease acquire) {
            orderLease = orderLease.grantedTo(acquire.holder());
            return orderLease;
        }
        if (command instanceof CloseUsageWindow close) {
            usage = usage.apply(close);
            return closedWindow(close.window());
        }
        if (command instanceof MarkUsageReported mark) {
            usage = usage.apply(mark);
            return closedWindow(mark.window());
        }
        if (command instanceof RegisterSidecar register) {
            return fleet.apply(index, register);
        }
        if (command instanceof SetLifecycle lifecycle) {
            return fleet.apply(index, lifecycle);
        }
        if (command instanceof IssueOrder issue) {
            return fleet.apply(index, issue);
        }
        if (command instanceof BeginOrder begin) {
            return fleet.apply(index, begin);
        }
        if (command instanceof FinishOrder finish) {
            return fleet.apply(index, finish);
        }
        return keys.apply(index, timeMillis, command);
    }

    /** Returns the stored window; one that is not closed has no counts. */
    private ClosedUsageWindow closedWindow(long window) {
        return usage.find(window).orElseGet(() -> new ClosedUsageWindow(window, Map.of(), false));
    }

    private ApplySettingsResult applySettings(long index, long timeMillis, ApplySettings command) {
        ApplySettingsResult result = settings.apply(timeMillis, command, fleet);
        fleet.applySettings(index, settings.tree());
        return result;
    }
}
