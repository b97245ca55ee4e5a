package org.wagtailcart.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.ResultCode;

/** Reference model of sidecar epochs, lifecycle and orders. Records the orders that each engine received. */
final class FleetOracle {
    static final class Engine {
        Lifecycle lifecycle = Lifecycle.ACTIVE;
        String model = "m1";
        long latest;
        OrderState state = OrderState.NONE;
        long started;
        long finished;
        final List<Long> received = new ArrayList<>();
    }

    final Map<String, Engine> engines = new HashMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, List<Long>> incarnations = new HashMap<>();
    final Map<String, String> sidecarOf = Map.of("e1", "s1", "e2", "s2", "e3", "s1");

    FleetOracle() {
        sidecarOf.keySet().forEach(id -> engines.put(id, new Engine()));
    }

    ResultCode register(long index, RegisterSidecar command, boolean allowed) {
        if (!allowed) {
            return ResultCode.SIDECAR_NOT_ALLOWED;
        }
        List<Long> known = incarnations.computeIfAbsent(command.sidecarId(), id -> new ArrayList<>());
        int position = known.indexOf(command.incarnation());
        if (position >= 0 && position < known.size() - 1) {
            return ResultCode.EPOCH_SUPERSEDED;
        }
        if (position < 0) {
            known.add(command.incarnation());
            epochs.put(command.sidecarId(), index);
        }
        return ResultCode.OK;
    }

    ResultCode lifecycle(SetLifecycle command) {
        Engine engine = engines.get(command.upstreamId());
        if (engine == null) {
            return ResultCode.UPSTREAM_UNKNOWN;
        }
        if (!engine.lifecycle.canTransitionTo(command.lifecycle())) {
            return ResultCode.LIFECYCLE_CONFLICT;
        }
        Engine replacement = engines.get(command.replacementId());
        if (command.lifecycle() == Lifecycle.REPLACED
                && (replacement == null || replacement == engine || replacement.lifecycle != Lifecycle.ACTIVE)) {
            return ResultCode.LIFECYCLE_CONFLICT;
        }
        if (engine.lifecycle == Lifecycle.ACTIVE && isOnlyEngineWithModel(engine)) {
            return ResultCode.MODEL_WITHOUT_ENGINE;
        }
        engine.lifecycle = command.lifecycle();
        return ResultCode.OK;
    }

    ResultCode issue(long index, IssueOrder command) {
        Engine engine = engines.get(command.upstreamId());
        if (engine == null) {
            return ResultCode.UPSTREAM_UNKNOWN;
        }
        if (engine.lifecycle.isFinal()) {
            return ResultCode.LIFECYCLE_CONFLICT;
        }
        if (command.expectedOrderNumber() != engine.latest) {
            return ResultCode.ORDER_SUPERSEDED;
        }
        boolean changesModel = !engine.model.equals(command.target().model());
        if (changesModel && engine.lifecycle == Lifecycle.ACTIVE && isOnlyEngineWithModel(engine)) {
            return ResultCode.MODEL_WITHOUT_ENGINE;
        }
        engine.latest = index;
        engine.state = OrderState.ISSUED;
        engine.model = command.target().model();
        return ResultCode.OK;
    }

    /** Returns the expected code and records an accepted start as an order that the engine received. */
    ResultCode begin(BeginOrder command) {
        Engine engine = engines.get(command.upstreamId());
        if (engine == null) {
            return ResultCode.UPSTREAM_UNKNOWN;
        }
        if (!latestEpoch(command.upstreamId(), command.epoch())) {
            return ResultCode.EPOCH_SUPERSEDED;
        }
        if (engine.latest == 0 || command.orderNumber() != engine.latest) {
            return ResultCode.ORDER_SUPERSEDED;
        }
        if (engine.started != 0 && engine.started != engine.latest) {
            return ResultCode.ENGINE_BUSY_WITH_ORDER;
        }
        if (engine.state == OrderState.DONE || engine.state == OrderState.FAILED) {
            return ResultCode.ORDER_SUPERSEDED;
        }
        engine.started = engine.latest;
        engine.state = OrderState.STARTED;
        engine.received.add(engine.latest);
        return ResultCode.OK;
    }

    ResultCode finish(FinishOrder command) {
        Engine engine = engines.get(command.upstreamId());
        if (engine == null) {
            return ResultCode.UPSTREAM_UNKNOWN;
        }
        if (!latestEpoch(command.upstreamId(), command.epoch())) {
            return ResultCode.EPOCH_SUPERSEDED;
        }
        if (command.orderNumber() != 0 && command.orderNumber() == engine.started) {
            if (engine.started == engine.latest) {
                engine.state = command.succeeded() ? OrderState.DONE : OrderState.FAILED;
            }
            engine.finished = engine.started;
            engine.started = 0;
            return ResultCode.OK;
        }
        boolean resent = command.orderNumber() != 0 && command.orderNumber() == engine.finished;
        return resent ? ResultCode.OK : ResultCode.ORDER_SUPERSEDED;
    }

    private boolean latestEpoch(String upstreamId, long epoch) {
        return Objects.equals(epochs.get(sidecarOf.get(upstreamId)), epoch);
    }

    private boolean isOnlyEngineWithModel(Engine engine) {
        return engines.values().stream()
                .noneMatch(other ->
                        other != engine && other.lifecycle == Lifecycle.ACTIVE && other.model.equals(engine.model));
    }
}
