package org.wagtailcart.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.SettingsTree;

/** Guards against engine orders out of sequence and against wrong results and views of {@link FleetState}. */
class FleetStateFuzzTest {
    /** One step; {@code number} selects orders, epochs and incarnations, {@code stale} selects an outdated one. */
    record Step(Kind kind, String upstream, int number, boolean stale) {
        enum Kind {
            REGISTER,
            LIFECYCLE,
            ISSUE,
            BEGIN,
            FINISH,
            RESEND,
            TOGGLE_SETTINGS,
            RESTART,
            SYNC
        }
    }

    private final Map<String, UpstreamView> replica = new HashMap<>();
    private final List<Record> sent = new ArrayList<>();
    private final List<FleetResult> results = new ArrayList<>();
    private FleetState state = new FleetState();
    private FleetOracle oracle = new FleetOracle();
    private SettingsTree tree = SettingsTree.EMPTY;
    private long replicaVersion;
    private long index;

    /**
     * Compares the state with a reference model under resent commands, restarts from a snapshot, upstreams that are
     * removed and added again, and deltas. Guards against an order that reaches an engine while another one is started,
     * after a newer one or from an old epoch, and against any other result or view that differs from the model.
     */
    @Property(tries = 400, seed = "99")
    void matchesReferenceModel(@ForAll("sequences") List<Step> steps) {
        state = new FleetState();
        oracle = new FleetOracle();
        replica.clear();
        sent.clear();
        results.clear();
        replicaVersion = 0;
        index = 0;
        tree = SettingsTree.EMPTY.withEdits(
                1,
                Stream.of("e1", "e2", "e3").flatMap(FleetStateFuzzTest::engine).toList());
        state.applySettings(++index, tree);
        steps.forEach(this::execute);
        sync();
    }

    private void execute(Step step) {
        index++;
        switch (step.kind()) {
            case REGISTER -> register(step);
            case LIFECYCLE -> lifecycle(step);
            case ISSUE -> issue(step);
            case BEGIN -> begin(step);
            case FINISH -> finish(step);
            case RESEND -> resend(step);
            case TOGGLE_SETTINGS -> toggle();
            case RESTART -> restart();
            case SYNC -> sync();
        }
        checkInvariants();
    }

    private void register(Step step) {
        String sidecar = oracle.sidecarOf.get(step.upstream());
        List<Long> known = oracle.incarnations.getOrDefault(sidecar, List.of());
        long incarnation =
                step.number() % 3 == 0 && !known.isEmpty() ? known.get(step.number() % known.size()) : 1_000 + index;
        RegisterSidecar command = new RegisterSidecar(sidecar, incarnation, address(step.stale() ? "e9" : sidecar));
        // The state retains only 16 earlier incarnations.
        if (known.size() - known.indexOf(incarnation) > 16 && known.contains(incarnation)) {
            return;
        }
        RegisterSidecarResult result = state.apply(index, command);
        assertThat(result.codeNumber())
                .isEqualTo(oracle.register(index, command, !step.stale()).number());
        if (result.codeNumber() == 0) {
            assertThat(result.epoch()).isEqualTo(oracle.epochs.get(sidecar));
        }
    }

    private void lifecycle(Step step) {
        Lifecycle next = List.of(Lifecycle.values()).get(step.number() % (step.stale() ? 5 : 3));
        applyAndCheck(new SetLifecycle("c" + sent.size(), "op", step.upstream(), next, "e" + (1 + step.number() % 3)));
    }

    private void issue(Step step) {
        long expected = engine(step).latest + (step.stale() ? 1 : 0);
        EngineTarget target = new EngineTarget(EngineRole.MIXED, step.number() % 4 == 0 ? "m2" : "m1", "", "v");
        applyAndCheck(new IssueOrder("c" + sent.size(), step.upstream(), target, expected));
    }

    private void applyAndCheck(Record command) {
        ResultCode expected = command instanceof SetLifecycle lifecycle
                ? oracle.lifecycle(lifecycle)
                : oracle.issue(index, (IssueOrder) command);
        FleetResult result = apply(command);
        assertWithMessage("%s: %s", command, result).that(result.codeNumber()).isEqualTo(expected.number());
        sent.add(command);
        results.add(result);
    }

    private FleetResult apply(Record command) {
        return command instanceof SetLifecycle lifecycle
                ? state.apply(index, lifecycle)
                : state.apply(index, (IssueOrder) command);
    }

    private void resend(Step step) {
        if (!sent.isEmpty()) {
            int pick = step.number() % sent.size();
            assertThat(apply(sent.get(pick))).isEqualTo(results.get(pick));
        }
    }

    private void begin(Step step) {
        BeginOrder command = new BeginOrder(step.upstream(), order(step), epoch(step));
        assertThat(state.apply(index, command).codeNumber())
                .isEqualTo(oracle.begin(command).number());
    }

    private void finish(Step step) {
        long number = step.number() % 4 == 0 ? order(step) : engine(step).started;
        FinishOrder command = new FinishOrder(step.upstream(), number, epoch(step), step.number() % 2 == 0, null, "");
        assertThat(state.apply(index, command).codeNumber())
                .isEqualTo(oracle.finish(command).number());
    }

    private long order(Step step) {
        FleetOracle.Engine engine = engine(step);
        return step.number() % 5 == 0 && !engine.received.isEmpty()
                ? engine.received.get(step.number() % engine.received.size())
                : engine.latest;
    }

    private long epoch(Step step) {
        return oracle.epochs.getOrDefault(oracle.sidecarOf.get(step.upstream()), 0L) - (step.stale() ? 1 : 0);
    }

    private FleetOracle.Engine engine(Step step) {
        return oracle.engines.getOrDefault(step.upstream(), new FleetOracle.Engine());
    }

    /** Removes e3 or adds it again. A final lifecycle state and a started order are retained across the removal. */
    private void toggle() {
        boolean present = tree.upstreams().containsKey("e3");
        List<SettingsEdit> edits = present
                ? List.of(SettingsEdit.remove("/upstreams/e3"))
                : engine("e3").toList();
        tree = tree.withEdits(tree.revision() + 1, edits);
        state.applySettings(index, tree);
        if (present) {
            FleetOracle.Engine engine = oracle.engines.remove("e3");
            oracle.engines.put("removed", engine);
            if (!engine.lifecycle.isFinal() && engine.started == 0) {
                oracle.engines.put("removed", new FleetOracle.Engine());
            }
            oracle.engines.get("removed").received.addAll(engine.received);
            removed = oracle.engines.remove("removed");
        } else {
            oracle.engines.put("e3", removed);
        }
    }

    private FleetOracle.Engine removed = new FleetOracle.Engine();

    private void restart() {
        FleetState restored = new FleetState();
        restored.restore(state.snapshot(), tree);
        assertThat(restored.view()).isEqualTo(state.view());
        state = restored;
    }

    private void sync() {
        FleetView view = state.view();
        if (view.version() != replicaVersion) {
            if (!view.hasDeltaSince(replicaVersion)) {
                replica.clear();
            }
            view.removedSince(replicaVersion).forEach(replica::remove);
            view.changedSince(replicaVersion).forEach(next -> replica.put(next.upstreamId(), next));
            replicaVersion = view.version();
        }
        assertThat(replica).isEqualTo(view.upstreams());
    }

    private void checkInvariants() {
        assertThat(state.view().upstreams().keySet()).isEqualTo(oracle.engines.keySet());
        oracle.engines.forEach((id, engine) -> {
            UpstreamView view = state.view().upstreams().get(id);
            assertThat(view.lifecycle()).isEqualTo(engine.lifecycle);
            assertThat(view.orderNumber()).isEqualTo(engine.latest);
            assertThat(view.orderState()).isEqualTo(engine.state);
            assertThat(view.startedOrderNumber()).isEqualTo(engine.started);
            assertThat(view.target().model()).isEqualTo(engine.model);
            assertThat(view.epoch()).isEqualTo(oracle.epochs.getOrDefault(oracle.sidecarOf.get(id), 0L));
            assertThat(engine.received).isInOrder();
        });
    }

    private static Stream<SettingsEdit> engine(String id) {
        String branch = "/upstreams/" + id;
        String sidecar = id.equals("e2") ? "s2" : "s1";
        return Stream.of(
                SettingsEdit.set(branch, "kind", "engine"),
                SettingsEdit.set(branch, "model", "m1"),
                SettingsEdit.set(branch, "address", address(id).toString()),
                SettingsEdit.set(branch, "sidecar", sidecar),
                SettingsEdit.set(branch, "sidecar-address", address(sidecar).toString()));
    }

    private static Address address(String name) {
        return new Address(name.startsWith("s") ? "10.0.1.1" : "10.0.0.1", 8_000 + name.charAt(1));
    }

    @Provide
    Arbitrary<List<Step>> sequences() {
        Arbitrary<Step.Kind> kinds = Arbitraries.frequency(
                Tuple.of(4, Step.Kind.REGISTER),
                Tuple.of(3, Step.Kind.LIFECYCLE),
                Tuple.of(8, Step.Kind.ISSUE),
                Tuple.of(8, Step.Kind.BEGIN),
                Tuple.of(6, Step.Kind.FINISH),
                Tuple.of(2, Step.Kind.RESEND),
                Tuple.of(1, Step.Kind.TOGGLE_SETTINGS),
                Tuple.of(1, Step.Kind.RESTART),
                Tuple.of(2, Step.Kind.SYNC));
        Arbitrary<Boolean> stale = Arbitraries.frequency(Tuple.of(4, false), Tuple.of(1, true));
        return Combinators.combine(
                        kinds,
                        Arbitraries.of("e1", "e2", "e3"),
                        Arbitraries.integers().between(0, 1_000),
                        stale)
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(60);
    }
}
