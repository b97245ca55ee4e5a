package org.wagtailcart.sidecar;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.fleet.BeginOrder;
import org.wagtailcart.fleet.FinishOrder;
import org.wagtailcart.fleet.FleetResult;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.RegisterSidecar;
import org.wagtailcart.fleet.RegisterSidecarResult;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/** In-memory control group with registration and the order lifecycle of design section 7; its view has no lag. */
final class FakeControl implements ControlClient, ControlView {
    static final long FIRST_EPOCH = 100;

    private final Map<String, UpstreamView> upstreams = new ConcurrentHashMap<>();
    private final List<Runnable> changeActions = new CopyOnWriteArrayList<>();
    private final AtomicLong index = new AtomicLong(FIRST_EPOCH);
    final AtomicLong revision = new AtomicLong(5);
    final AtomicLong syncs = new AtomicLong();
    final AtomicLong registrationsToReject = new AtomicLong();
    final List<Object> commands = new CopyOnWriteArrayList<>();
    volatile long grantDeadlineMillis = Long.MAX_VALUE;
    volatile Runnable beforeBeginReply = () -> {};

    void add(String id, UpstreamKind kind, Address address, int maxInFlight) {
        EngineTarget target = kind == UpstreamKind.ENGINE ? new EngineTarget(EngineRole.MIXED, "m", "", "1") : null;
        put(new UpstreamView(
                id,
                1,
                kind,
                address,
                "sc",
                new Address("127.0.0.1", 1),
                0,
                "fd",
                kind == UpstreamKind.SERVICE ? "svc" : "",
                Lifecycle.ACTIVE,
                target,
                0,
                OrderState.NONE,
                0,
                true,
                maxInFlight));
    }

    void change(String id, UnaryOperator<UpstreamView> change) {
        put(change.apply(upstreams.get(id)));
    }

    private void put(UpstreamView view) {
        upstreams.put(view.upstreamId(), view);
        notifyChange();
    }

    void notifyChange() {
        changeActions.forEach(Runnable::run);
    }

    /** Issues an order for an engine and returns the order number. */
    long issue(String id, EngineTarget target) {
        long number = index.incrementAndGet();
        change(id, old -> withOrder(old, old.epoch(), target, number, OrderState.ISSUED, old.startedOrderNumber()));
        return number;
    }

    /** Assigns a later epoch to every upstream, as the registration of another process does; returns the epoch. */
    long supersede() {
        long epoch = index.incrementAndGet();
        upstreams.keySet().forEach(id -> change(id, old -> withEpoch(old, epoch)));
        return epoch;
    }

    static UpstreamView withLifecycle(UpstreamView old, Lifecycle lifecycle) {
        return copy(
                old,
                old.epoch(),
                lifecycle,
                old.target(),
                old.orderNumber(),
                old.orderState(),
                old.startedOrderNumber());
    }

    static UpstreamView withEpoch(UpstreamView old, long epoch) {
        return copy(
                old,
                epoch,
                old.lifecycle(),
                old.target(),
                old.orderNumber(),
                old.orderState(),
                old.startedOrderNumber());
    }

    static UpstreamView withOrder(
            UpstreamView old, long epoch, EngineTarget target, long number, OrderState state, long started) {
        return copy(old, epoch, old.lifecycle(), target, number, state, started);
    }

    private static UpstreamView copy(
            UpstreamView old,
            long epoch,
            Lifecycle lifecycle,
            EngineTarget target,
            long orderNumber,
            OrderState state,
            long started) {
        return new UpstreamView(
                old.upstreamId(),
                old.version() + 1,
                old.kind(),
                old.address(),
                old.sidecarId(),
                old.sidecarAddress(),
                epoch,
                old.failureDomain(),
                old.service(),
                lifecycle,
                target,
                orderNumber,
                state,
                started,
                old.checksFencing(),
                old.maxInFlight());
    }

    @Override
    public <T> CompletableFuture<T> submit(Object command, Class<T> resultType, long timeoutMillis) {
        commands.add(command);
        if (command instanceof RegisterSidecar && registrationsToReject.getAndDecrement() > 0) {
            return CompletableFuture.failedFuture(
                    new WagtailcartException(ResultCode.NO_QUORUM, "registration rejected by the test: no quorum"));
        }
        Object result = apply(command);
        if (command instanceof BeginOrder) {
            beforeBeginReply.run();
        }
        return CompletableFuture.completedFuture(resultType.cast(result));
    }

    private synchronized Object apply(Object command) {
        if (command instanceof RegisterSidecar) {
            return new RegisterSidecarResult(0, supersede(), "");
        }
        if (command instanceof BeginOrder begin) {
            return begin(begin);
        }
        return finish((FinishOrder) command);
    }

    private FleetResult begin(BeginOrder begin) {
        UpstreamView current = upstreams.get(begin.upstreamId());
        if (begin.epoch() != current.epoch()) {
            return new FleetResult(ResultCode.EPOCH_SUPERSEDED.number(), current.orderNumber(), "epoch");
        }
        if (begin.orderNumber() != current.orderNumber() || current.orderState() != OrderState.ISSUED) {
            return new FleetResult(ResultCode.ORDER_SUPERSEDED.number(), current.orderNumber(), "order");
        }
        upstreams.put(
                current.upstreamId(),
                withOrder(
                        current,
                        current.epoch(),
                        current.target(),
                        current.orderNumber(),
                        OrderState.STARTED,
                        current.orderNumber()));
        return new FleetResult(0, current.orderNumber(), "");
    }

    private FleetResult finish(FinishOrder finish) {
        UpstreamView current = upstreams.get(finish.upstreamId());
        if (finish.epoch() != current.epoch() || finish.orderNumber() != current.startedOrderNumber()) {
            return new FleetResult(ResultCode.EPOCH_SUPERSEDED.number(), current.orderNumber(), "epoch or order");
        }
        OrderState ended = finish.succeeded() ? OrderState.DONE : OrderState.FAILED;
        OrderState state = finish.orderNumber() == current.orderNumber() ? ended : current.orderState();
        upstreams.put(
                current.upstreamId(),
                withOrder(current, current.epoch(), current.target(), current.orderNumber(), state, 0));
        return new FleetResult(0, current.orderNumber(), "");
    }

    @Override
    public SettingsTree settings() {
        return SettingsTree.EMPTY;
    }

    @Override
    public Optional<UpstreamView> upstream(String upstreamId) {
        return Optional.ofNullable(upstreams.get(upstreamId));
    }

    @Override
    public Collection<UpstreamView> upstreams() {
        return upstreams.values();
    }

    @Override
    public long leaseDeadlineMillis() {
        return Long.MAX_VALUE;
    }

    @Override
    public long powerGrantDeadlineMillis(String upstreamId) {
        return grantDeadlineMillis;
    }

    @Override
    public void requestSync() {
        syncs.incrementAndGet();
    }

    @Override
    public void onChange(Runnable action) {
        changeActions.add(action);
    }
}
