package org.wagtailcart.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Compares the replicated settings state with a reference model over random sequences of steps. */
class SettingsStateFuzzTest {
    /** One step: a change of an operator, a restart of a member or a sync of a process. */
    record Step(Kind kind, List<SettingsEdit> edits, int randomIndex) {
        enum Kind {
            CHANGE,
            CHANGE_WITH_OLD_REVISION,
            RESEND,
            REUSE_ID,
            RESTART,
            SYNC
        }
    }

    private SettingsState state = new SettingsState();
    private SettingsTree follower = SettingsTree.EMPTY;

    /**
     * Guards against a state that differs from the reference model after a sequence of changes, resent changes and
     * restores of a snapshot, and against a copy in another process that differs after it installed deltas.
     */
    @Property(tries = 400, seed = "4242")
    void matchesReferenceModel(@ForAll("stepSequences") List<Step> steps) {
        state = new SettingsState();
        follower = SettingsTree.EMPTY;
        SettingsReferenceModel model = new SettingsReferenceModel();
        change(model, engine("e1", 1), 0);
        steps.forEach(step -> execute(model, step));
        sync();
        assertThat(follower.hasSameContent(state.tree())).isTrue();
    }

    private void execute(SettingsReferenceModel model, Step step) {
        switch (step.kind()) {
            case CHANGE -> change(model, step.edits(), model.revision);
            case CHANGE_WITH_OLD_REVISION -> change(model, step.edits(), model.revision - 1 - step.randomIndex() % 3);
            case RESEND -> resend(model, step.randomIndex(), false);
            case REUSE_ID -> resend(model, step.randomIndex(), true);
            case RESTART -> restart();
            case SYNC -> sync();
        }
        assertThat(contentOf(state.tree())).isEqualTo(model.branches);
        assertThat(state.tree().revision()).isEqualTo(model.revision);
        assertThat(state.tree().upstreams().keySet())
                .isEqualTo(SettingsReferenceModel.upstreams(model.branches).stream()
                        .map(SettingsReferenceModel::upstreamId)
                        .collect(Collectors.toSet()));
        state.tree().upstreams().values().forEach(upstream -> assertThat(upstream)
                .isEqualTo(UpstreamSettings.fromTree(state.tree(), upstream.branch())));
    }

    private void change(SettingsReferenceModel model, List<SettingsEdit> edits, long expectedRevision) {
        ApplySettings command = new ApplySettings("change-" + model.sent.size(), "op", expectedRevision, edits);
        int expected = model.apply(command).number();
        ApplySettingsResult result = state.apply(1_000, command, SettingsReferenceModel.engineStatus());
        assertWithMessage("%s: %s", command, result).that(result.codeNumber()).isEqualTo(expected);
        model.sent.add(command);
        model.firstResults.put(command.changeId(), result);
    }

    private void resend(SettingsReferenceModel model, int randomIndex, boolean otherContent) {
        ApplySettings first = model.sent.get(randomIndex % model.sent.size());
        ApplySettings resent = new ApplySettings(
                first.changeId(), otherContent ? "another operator" : "op", first.expectedRevision(), first.edits());
        ApplySettingsResult result = state.apply(2_000, resent, SettingsReferenceModel.engineStatus());
        if (otherContent) {
            assertThat(result.codeNumber()).isEqualTo(4009);
        } else {
            assertThat(result).isEqualTo(model.firstResults.get(first.changeId()));
        }
    }

    private void restart() {
        SettingsState restored = new SettingsState();
        restored.restore(state.snapshot());
        assertThat(restored.history().changes()).isEqualTo(state.history().changes());
        state = restored;
    }

    private void sync() {
        long from = follower.revision();
        follower = follower.withEdits(
                state.tree().revision(), state.history().editsSince(from).orElseThrow());
        assertThat(contentOf(follower)).isEqualTo(contentOf(state.tree()));
        assertThat(follower.upstreams()).isEqualTo(state.tree().upstreams());
        assertThat(state.history().treeAt(from).revision()).isEqualTo(from);
    }

    private static Map<String, Map<String, String>> contentOf(SettingsTree tree) {
        Map<String, Map<String, String>> content = new TreeMap<>();
        tree.branches().forEach(path -> content.put(path, new TreeMap<>(tree.ownValues(path))));
        return content;
    }

    private static List<SettingsEdit> engine(String id, int number) {
        String branch = "/upstreams/m/" + id;
        return List.of(
                SettingsEdit.set("/upstreams/m", "model", "m1"),
                SettingsEdit.set("/upstreams/m", "kind", "engine"),
                SettingsEdit.set(branch, "address", "10.0.0." + number + ":80"),
                SettingsEdit.set(branch, "sidecar", "s" + number),
                SettingsEdit.set(branch, "sidecar-address", "10.0.1." + number + ":80"));
    }

    @Provide
    Arbitrary<List<Step>> stepSequences() {
        Arbitrary<Step.Kind> kinds = Arbitraries.frequency(
                Tuple.of(8, Step.Kind.CHANGE),
                Tuple.of(1, Step.Kind.CHANGE_WITH_OLD_REVISION),
                Tuple.of(2, Step.Kind.RESEND),
                Tuple.of(1, Step.Kind.REUSE_ID),
                Tuple.of(1, Step.Kind.RESTART),
                Tuple.of(2, Step.Kind.SYNC));
        Arbitrary<List<SettingsEdit>> edits = Arbitraries.frequencyOf(
                Tuple.of(4, edit().list().ofMinSize(1).ofMaxSize(3)),
                Tuple.of(1, Arbitraries.integers().between(1, 4).map(n -> engine("e" + n, n))));
        return Combinators.combine(kinds, edits, Arbitraries.integers().between(0, 1_000))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    private static Arbitrary<SettingsEdit> edit() {
        Arbitrary<String> branches = Arbitraries.of(
                "/",
                "/upstreams",
                "/upstreams/m",
                "/upstreams/m/e1",
                "/upstreams/m/e2",
                "/upstreams/e3",
                "/workspaces/w1",
                "/spare",
                "/spare/e1");
        Arbitrary<SettingsEdit> sets = Combinators.combine(
                        branches,
                        Arbitraries.of(
                                List.of("model", "m1"),
                                List.of("model", "m2"),
                                List.of("sidecar", "s1"),
                                List.of("sidecar-address", "10.0.1.1:80"),
                                List.of("address", "10.0.0.1:80"),
                                List.of("address", "10.0.0.9:80"),
                                List.of("no-such-key", "1"),
                                List.of("model", "bad\tvalue"),
                                List.of("", "")))
                .as((branch, pair) -> SettingsEdit.set(branch, pair.get(0), pair.get(1)));
        Arbitrary<SettingsEdit> unsets = Combinators.combine(branches, Arbitraries.of("model", "address", "sidecar"))
                .as(SettingsEdit::unset);
        Arbitrary<SettingsEdit> moves = Combinators.combine(branches, branches).as(SettingsEdit::move);
        return Arbitraries.frequencyOf(
                Tuple.of(4, sets),
                Tuple.of(2, unsets),
                Tuple.of(1, branches.map(SettingsEdit::remove)),
                Tuple.of(2, moves));
    }
}
