package org.wagtailcart.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.settings.ChangeResults;
import org.wagtailcart.settings.EngineStatusSource;
import org.wagtailcart.settings.SettingsTree;
import org.wagtailcart.settings.UpstreamSettings;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;

/** Replicated state machine for sidecar epochs, upstream lifecycle and orders. Used by the control thread only. */
public final class FleetState implements EngineStatusSource {
    /** Encoded form of the state. */
    record Snapshot(
            long version,
            long removedSince,
            List<UpstreamEntry> entries,
            List<SidecarRegistration> sidecars,
            List<UpstreamView> views,
            List<Removal> removals,
            List<ChangeResults.Entry> changeIds) {}

    /** Upstreams removed at one version. */
    record Removal(long version, List<String> upstreamIds) {}

    private static final int SNAPSHOT_TYPE = 490;
    private static final MessageCodec CODEC =
            new MessageCodec(List.of(List.of(new MessageType(SNAPSHOT_TYPE, Snapshot.class))));

    private final Map<String, UpstreamEntry> entries = new TreeMap<>();
    private final Map<String, SidecarRegistration> sidecars = new TreeMap<>();
    private final ChangeResults changeIds = new ChangeResults();
    private Map<String, UpstreamSettings> settings = Map.of();
    private FleetView view = FleetView.EMPTY;

    /** Returns the view of all upstreams, which is immutable and may be used on any thread. */
    public FleetView view() {
        return view;
    }

    /** Applies the upstreams of a new settings revision. */
    public void applySettings(long index, SettingsTree tree) {
        if (settings.equals(tree.upstreams())) {
            return;
        }
        List<String> removedIds = settings.keySet().stream()
                .filter(id -> !tree.upstreams().containsKey(id))
                .toList();
        removedIds.stream().filter(id -> !entry(id).isRetainedAfterRemoval()).forEach(entries::remove);
        settings = tree.upstreams();
        updateViews(index, settings.keySet().stream(), removedIds);
    }

    /** Applies a committed registration. A resent registration gets the same epoch. */
    public RegisterSidecarResult apply(long index, RegisterSidecar command) {
        SidecarRegistration current = sidecars.get(command.sidecarId());
        if (!mayRegister(command)) {
            return new RegisterSidecarResult(
                    ResultCode.SIDECAR_NOT_ALLOWED.number(),
                    0,
                    "no upstream names sidecar \"" + command.sidecarId() + "\" at " + command.address());
        }
        if (current == null) {
            return storeRegistration(
                    index,
                    new SidecarRegistration(
                            command.sidecarId(), command.incarnation(), command.address(), index, List.of()));
        }
        if (current.incarnation() == command.incarnation() && current.address().equals(command.address())) {
            return new RegisterSidecarResult(0, current.epoch(), "");
        }
        if (current.earlierIncarnations().contains(command.incarnation())) {
            return new RegisterSidecarResult(
                    ResultCode.EPOCH_SUPERSEDED.number(),
                    current.epoch(),
                    "another process of sidecar \"" + command.sidecarId() + "\" registered later");
        }
        return storeRegistration(index, current.withIncarnation(command.incarnation(), command.address(), index));
    }

    /** Applies a committed lifecycle change. A resent change gets the first result again. */
    public FleetResult apply(long index, SetLifecycle command) {
        return applyOnce(command.changeId(), command, () -> setLifecycle(index, command));
    }

    /** Applies a committed order. A resent order gets the first result again. */
    public FleetResult apply(long index, IssueOrder command) {
        return applyOnce(command.changeId(), command, () -> issueOrder(index, command));
    }

    /** Applies the committed start of an order. */
    public FleetResult apply(long index, BeginOrder command) {
        UpstreamEntry entry = entry(command.upstreamId());
        Optional<FleetResult> refusal = checkEpoch(entry, command.epoch());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (command.orderNumber() != entry.orderNumber() || command.orderNumber() == 0) {
            return rejected(
                    ResultCode.ORDER_SUPERSEDED,
                    entry,
                    "order " + command.orderNumber() + " is not the latest order " + entry.orderNumber());
        }
        if (entry.startedOrderNumber() != 0 && entry.startedOrderNumber() != command.orderNumber()) {
            return rejected(
                    ResultCode.ENGINE_BUSY_WITH_ORDER,
                    entry,
                    "order " + entry.startedOrderNumber() + " is started and not finished");
        }
        if (entry.orderState() == OrderState.DONE || entry.orderState() == OrderState.FAILED) {
            return rejected(
                    ResultCode.ORDER_SUPERSEDED, entry, "order " + command.orderNumber() + " is already finished");
        }
        return store(index, entry.started(command.epoch()));
    }

    /** Applies the committed outcome of an order. A resent outcome has no effect. */
    public FleetResult apply(long index, FinishOrder command) {
        UpstreamEntry entry = entry(command.upstreamId());
        Optional<FleetResult> refusal = checkEpoch(entry, command.epoch());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (command.orderNumber() != 0 && entry.startedOrderNumber() == command.orderNumber()) {
            return store(index, entry.finished(command.succeeded(), command.observed()));
        }
        if (command.orderNumber() != 0 && entry.finishedOrderNumber() == command.orderNumber()) {
            return new FleetResult(0, entry.orderNumber(), "");
        }
        return rejected(ResultCode.ORDER_SUPERSEDED, entry, "order " + command.orderNumber() + " is not started");
    }

    @Override
    public boolean isInactive(String upstreamId) {
        return entry(upstreamId).lifecycle() != Lifecycle.ACTIVE;
    }

    @Override
    public Optional<String> orderedModel(String upstreamId) {
        return Optional.ofNullable(entry(upstreamId).target()).map(EngineTarget::model);
    }

    @Override
    public boolean hasOrderInProgress(String upstreamId) {
        UpstreamEntry entry = entry(upstreamId);
        return entry.startedOrderNumber() != 0 && !entry.lifecycle().isFinal();
    }

    /** Returns the full state in encoded form. */
    public byte[] snapshot() {
        List<Removal> removals = view.removed().entrySet().stream()
                .map(removal -> new Removal(removal.getKey(), removal.getValue()))
                .toList();
        return CODEC.encode(new Snapshot(
                view.version(),
                view.removedSince(),
                List.copyOf(entries.values()),
                List.copyOf(sidecars.values()),
                List.copyOf(view.upstreams().values()),
                removals,
                changeIds.toList()));
    }

    /**
     * Replaces the full state with that of a snapshot.
     *
     * @param tree settings tree of the same snapshot
     */
    public void restore(byte[] bytes, SettingsTree tree) {
        Snapshot snapshot = (Snapshot) CODEC.decode(SNAPSHOT_TYPE, bytes);
        entries.clear();
        snapshot.entries().forEach(entry -> entries.put(entry.upstreamId(), entry));
        sidecars.clear();
        snapshot.sidecars().forEach(sidecar -> sidecars.put(sidecar.sidecarId(), sidecar));
        changeIds.restore(snapshot.changeIds());
        settings = tree.upstreams();
        TreePMap<String, UpstreamView> views = TreePMap.empty();
        for (UpstreamView upstream : snapshot.views()) {
            views = views.plus(upstream.upstreamId(), upstream);
        }
        TreePMap<Long, List<String>> removed = TreePMap.empty();
        for (Removal removal : snapshot.removals()) {
            removed = removed.plus(removal.version(), removal.upstreamIds());
        }
        view = new FleetView(snapshot.version(), views, removed, snapshot.removedSince());
    }

    private FleetResult applyOnce(String changeId, Record command, Supplier<FleetResult> operation) {
        String fingerprint = ChangeResults.fingerprint(command);
        Optional<ChangeResults.Entry> existing = changeIds.find(changeId);
        if (existing.isPresent()) {
            ChangeResults.Entry entry = existing.get();
            return entry.fingerprint().equals(fingerprint)
                    ? new FleetResult(entry.codeNumber(), entry.resultNumber(), entry.message())
                    : new FleetResult(
                            ResultCode.CHANGE_ID_REUSED.number(),
                            entry.resultNumber(),
                            "change id \"" + changeId + "\" belongs to another change");
        }
        FleetResult result = operation.get();
        changeIds.add(new ChangeResults.Entry(
                changeId, fingerprint, result.codeNumber(), result.orderNumber(), result.message()));
        return result;
    }

    private FleetResult setLifecycle(long index, SetLifecycle command) {
        UpstreamEntry entry = entry(command.upstreamId());
        if (!settings.containsKey(command.upstreamId())) {
            return unknownUpstream(command.upstreamId());
        }
        if (!entry.lifecycle().canTransitionTo(command.lifecycle())) {
            return rejected(
                    ResultCode.LIFECYCLE_CONFLICT,
                    entry,
                    "upstream \"" + command.upstreamId() + "\" is " + entry.lifecycle() + " and cannot become "
                            + command.lifecycle());
        }
        if (command.lifecycle() == Lifecycle.REPLACED && !canReplace(command)) {
            return rejected(
                    ResultCode.LIFECYCLE_CONFLICT,
                    entry,
                    "replacement \"" + command.replacementId()
                            + "\" is not another upstream of the same kind that takes new work");
        }
        if (command.lifecycle() != Lifecycle.ACTIVE && entry.lifecycle() == Lifecycle.ACTIVE) {
            Optional<String> orphanedModel = modelServedOnlyBy(command.upstreamId());
            if (orphanedModel.isPresent()) {
                return modelWithoutEngine(entry, orphanedModel.get());
            }
        }
        String replacement = command.lifecycle() == Lifecycle.REPLACED ? command.replacementId() : "";
        return store(index, entry.withLifecycle(command.lifecycle(), replacement));
    }

    private FleetResult issueOrder(long index, IssueOrder command) {
        UpstreamSettings upstream = settings.get(command.upstreamId());
        if (upstream == null) {
            return unknownUpstream(command.upstreamId());
        }
        UpstreamEntry entry = entry(command.upstreamId());
        if (upstream.kind() != UpstreamKind.ENGINE || entry.lifecycle().isFinal()) {
            return rejected(
                    ResultCode.LIFECYCLE_CONFLICT,
                    entry,
                    "upstream \"" + command.upstreamId() + "\" is " + upstream.kind() + " and " + entry.lifecycle()
                            + "; only an engine in service takes orders");
        }
        if (command.expectedOrderNumber() != entry.orderNumber()) {
            return rejected(
                    ResultCode.ORDER_SUPERSEDED,
                    entry,
                    "expected order number " + command.expectedOrderNumber() + ", but " + entry.orderNumber()
                            + " is the latest");
        }
        Optional<String> orphanedModel = modelServedOnlyBy(command.upstreamId())
                .filter(model -> !model.equals(command.target().model()));
        return orphanedModel
                .map(model -> modelWithoutEngine(entry, model))
                .orElseGet(() -> store(index, entry.issued(index, command.target())));
    }

    private boolean mayRegister(RegisterSidecar command) {
        return settings.values().stream()
                .anyMatch(upstream -> upstream.sidecarId().equals(command.sidecarId())
                        && upstream.sidecarAddress().equals(command.address()));
    }

    private RegisterSidecarResult storeRegistration(long index, SidecarRegistration sidecar) {
        sidecars.put(sidecar.sidecarId(), sidecar);
        Stream<String> upstreams = settings.values().stream()
                .filter(upstream -> upstream.sidecarId().equals(sidecar.sidecarId()))
                .map(UpstreamSettings::upstreamId);
        updateViews(index, upstreams, List.of());
        return new RegisterSidecarResult(0, sidecar.epoch(), "");
    }

    private boolean canReplace(SetLifecycle command) {
        UpstreamView old = view.upstreams().get(command.upstreamId());
        UpstreamView next = view.upstreams().get(command.replacementId());
        return old != null
                && next != null
                && !next.upstreamId().equals(old.upstreamId())
                && next.kind() == old.kind()
                && next.service().equals(old.service())
                && next.lifecycle().acceptsNewRequests();
    }

    /** Returns the model of an active engine when no other active engine has it. */
    private Optional<String> modelServedOnlyBy(String upstreamId) {
        return Optional.ofNullable(view.upstreams().get(upstreamId))
                .filter(engine -> engine.lifecycle().acceptsNewRequests())
                .flatMap(FleetState::modelOf)
                .filter(model -> view.upstreams().values().stream()
                        .filter(other -> !other.upstreamId().equals(upstreamId))
                        .filter(other -> other.lifecycle().acceptsNewRequests())
                        .noneMatch(other -> modelOf(other).equals(Optional.of(model))));
    }

    private static Optional<String> modelOf(UpstreamView upstream) {
        return Optional.ofNullable(upstream.target()).map(EngineTarget::model);
    }

    private Optional<FleetResult> checkEpoch(UpstreamEntry entry, long epoch) {
        UpstreamView upstream = view.upstreams().get(entry.upstreamId());
        if (upstream == null) {
            return Optional.of(unknownUpstream(entry.upstreamId()));
        }
        if (upstream.epoch() == 0 || upstream.epoch() != epoch) {
            return Optional.of(rejected(
                    ResultCode.EPOCH_SUPERSEDED,
                    entry,
                    "epoch " + epoch + " is not the latest epoch " + upstream.epoch()));
        }
        return Optional.empty();
    }

    private FleetResult store(long index, UpstreamEntry entry) {
        entries.put(entry.upstreamId(), entry);
        updateViews(index, Stream.of(entry.upstreamId()), List.of());
        return new FleetResult(0, entry.orderNumber(), "");
    }

    private void updateViews(long index, Stream<String> upstreamIds, List<String> removedIds) {
        List<UpstreamView> changed = new ArrayList<>();
        upstreamIds.forEach(id -> {
            UpstreamView old = view.upstreams().get(id);
            UpstreamView next = viewOf(id, old == null ? 0 : old.version());
            if (!next.equals(old)) {
                changed.add(viewOf(id, index));
            }
        });
        view = view.withChanges(index, changed, removedIds);
    }

    private UpstreamView viewOf(String upstreamId, long version) {
        UpstreamSettings upstream = Objects.requireNonNull(settings.get(upstreamId), upstreamId);
        UpstreamEntry entry = entry(upstreamId);
        return new UpstreamView(
                upstreamId,
                version,
                upstream.kind(),
                upstream.address(),
                upstream.sidecarId(),
                upstream.sidecarAddress(),
                epochFor(upstream),
                upstream.failureDomain(),
                upstream.service(),
                entry.lifecycle(),
                targetOf(upstream, entry),
                entry.orderNumber(),
                entry.orderState(),
                entry.startedOrderNumber(),
                upstream.checksFencing(),
                upstream.maxInFlight());
    }

    private static @Nullable EngineTarget targetOf(UpstreamSettings upstream, UpstreamEntry entry) {
        EngineTarget ordered = entry.target();
        return ordered == null || upstream.kind() == UpstreamKind.SERVICE ? upstream.initialTarget() : ordered;
    }

    private long epochFor(UpstreamSettings upstream) {
        SidecarRegistration sidecar = sidecars.get(upstream.sidecarId());
        return sidecar != null && sidecar.address().equals(upstream.sidecarAddress()) ? sidecar.epoch() : 0;
    }

    private UpstreamEntry entry(String upstreamId) {
        UpstreamEntry entry = entries.get(upstreamId);
        return entry == null ? UpstreamEntry.initial(upstreamId) : entry;
    }

    private static FleetResult rejected(ResultCode code, UpstreamEntry entry, String text) {
        return new FleetResult(code.number(), entry.orderNumber(), text);
    }

    private static FleetResult unknownUpstream(String upstreamId) {
        return new FleetResult(
                ResultCode.UPSTREAM_UNKNOWN.number(), 0, "upstream \"" + upstreamId + "\" is not in the settings tree");
    }

    private static FleetResult modelWithoutEngine(UpstreamEntry entry, String model) {
        return rejected(
                ResultCode.MODEL_WITHOUT_ENGINE,
                entry,
                "the change leaves model \"" + model + "\" without an engine that is not leaving");
    }
}
