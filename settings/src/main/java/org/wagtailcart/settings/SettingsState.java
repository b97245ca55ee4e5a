package org.wagtailcart.settings;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;

/** Replicated part for the operators' tree. Used by the control thread only; {@link #history()} may be shared. */
public final class SettingsState {
    /**
     * Encoded state.
     *
     * @param baseRevision revision of the tree before the oldest retained change
     * @param base that tree
     * @param changes retained changes
     * @param changeResults first results by change id
     */
    record Snapshot(
            long baseRevision,
            List<SettingsEdit> base,
            List<SettingsChange> changes,
            List<ChangeResults.Entry> changeResults) {}

    private static final int SNAPSHOT_TYPE = 290;
    private static final MessageCodec CODEC =
            new MessageCodec(List.of(List.of(new MessageType(SNAPSHOT_TYPE, Snapshot.class))));

    private final int maxRetained;
    private final ChangeResults changeResults;
    private SettingsHistory history = SettingsHistory.EMPTY;

    /** Creates the empty tree. */
    public SettingsState() {
        this(ChangeResults.MAX_RETAINED);
    }

    SettingsState(int retained) {
        this.maxRetained = retained;
        this.changeResults = new ChangeResults(retained);
    }

    /** Returns the tree in force. */
    public SettingsTree tree() {
        return history.current();
    }

    /** Returns the tree in force with the retained changes. */
    public SettingsHistory history() {
        return history;
    }

    /** Applies a committed change. A resent change gets its first result and has no effect. */
    public ApplySettingsResult apply(long timeMillis, ApplySettings command, EngineStatusSource engines) {
        String fingerprint = ChangeResults.fingerprint(command);
        Optional<ChangeResults.Entry> recorded = changeResults.find(command.changeId());
        if (recorded.isPresent()) {
            return resultOfResent(recorded.get(), fingerprint);
        }
        ApplySettingsResult result = applyNew(timeMillis, command, engines);
        changeResults.add(new ChangeResults.Entry(
                command.changeId(), fingerprint, result.codeNumber(), result.revision(), result.message()));
        return result;
    }

    /**
     * Returns the tree that a change would make.
     *
     * @throws WagtailcartException with the code of the refusal
     */
    public static SettingsTree validate(SettingsTree tree, List<SettingsEdit> edits, EngineStatusSource engines) {
        if (edits.isEmpty()) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "edits: a change needs at least one edit");
        }
        SettingsTree next = tree.withEdits(tree.revision() + 1, edits);
        checkModelsServed(tree, next, engines);
        checkOrdersInProgress(tree, next, engines);
        return next;
    }

    /** Returns the whole state in encoded form. */
    public byte[] snapshot() {
        return CODEC.encode(new Snapshot(
                history.base().revision(),
                history.base().toEdits(),
                List.copyOf(history.changes().values()),
                changeResults.toList()));
    }

    /** Replaces the whole state. */
    public void restore(byte[] bytes) {
        Snapshot snapshot = (Snapshot) CODEC.decode(SNAPSHOT_TYPE, bytes);
        SettingsTree base = SettingsTree.EMPTY.withEdits(snapshot.baseRevision(), snapshot.base());
        SettingsHistory restored = new SettingsHistory(base, base, SettingsHistory.EMPTY.changes());
        for (SettingsChange change : snapshot.changes()) {
            SettingsTree tree = restored.current().withEdits(change.revision(), change.edits());
            restored = restored.plus(change, tree, Integer.MAX_VALUE);
        }
        history = restored;
        changeResults.restore(snapshot.changeResults());
    }

    private ApplySettingsResult applyNew(long timeMillis, ApplySettings command, EngineStatusSource engines) {
        SettingsTree tree = tree();
        if (command.expectedRevision() != tree.revision()) {
            return new ApplySettingsResult(
                    ResultCode.REVISION_CONFLICT.number(),
                    tree.revision(),
                    "expected revision " + command.expectedRevision() + ", but revision " + tree.revision()
                            + " is in force");
        }
        try {
            SettingsTree next = validate(tree, command.edits(), engines);
            SettingsChange change = new SettingsChange(
                    next.revision(), command.changeId(), command.operator(), timeMillis, command.edits());
            history = history.plus(change, next, maxRetained);
            return new ApplySettingsResult(0, next.revision(), "");
        } catch (WagtailcartException e) {
            return new ApplySettingsResult(e.code().number(), tree.revision(), String.valueOf(e.getMessage()));
        }
    }

    private static ApplySettingsResult resultOfResent(ChangeResults.Entry first, String fingerprint) {
        if (!first.fingerprint().equals(fingerprint)) {
            return new ApplySettingsResult(
                    ResultCode.CHANGE_ID_REUSED.number(),
                    first.resultNumber(),
                    "change id \"" + first.changeId() + "\" belongs to another change");
        }
        return new ApplySettingsResult(first.codeNumber(), first.resultNumber(), first.message());
    }

    private static void checkModelsServed(SettingsTree before, SettingsTree after, EngineStatusSource engines) {
        if (before.upstreams().equals(after.upstreams())) {
            return;
        }
        Set<String> lost = new TreeSet<>(servedModels(before, engines));
        lost.removeAll(servedModels(after, engines));
        if (!lost.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.MODEL_WITHOUT_ENGINE,
                    "the change leaves " + String.join(", ", lost) + " without an engine that is not leaving");
        }
    }

    /**
     * An engine that returns under another upstream id or gets another sidecar could receive an order while the started
     * one is still on its way.
     */
    private static void checkOrdersInProgress(SettingsTree before, SettingsTree after, EngineStatusSource engines) {
        before.upstreams().values().stream()
                .filter(upstream -> engines.hasOrderInProgress(upstream.upstreamId()))
                .filter(upstream ->
                        !hasSameAddresses(upstream, after.upstreams().get(upstream.upstreamId())))
                .findFirst()
                .ifPresent(upstream -> {
                    throw new WagtailcartException(
                            ResultCode.ENGINE_BUSY_WITH_ORDER,
                            "branch " + upstream.branch() + ": the upstream is carrying out an order; it can be"
                                    + " removed or get another address or sidecar when the order is finished or the"
                                    + " upstream is withdrawn");
                });
    }

    private static boolean hasSameAddresses(UpstreamSettings before, @Nullable UpstreamSettings after) {
        return after != null
                && after.address().equals(before.address())
                && after.sidecarId().equals(before.sidecarId())
                && after.sidecarAddress().equals(before.sidecarAddress());
    }

    private static Set<String> servedModels(SettingsTree tree, EngineStatusSource engines) {
        return tree.upstreams().values().stream()
                .filter(upstream -> !engines.isInactive(upstream.upstreamId()))
                .flatMap(upstream -> modelOf(upstream, engines).stream())
                .collect(Collectors.toSet());
    }

    private static Optional<String> modelOf(UpstreamSettings upstream, EngineStatusSource engines) {
        EngineTarget target = upstream.initialTarget();
        return target == null
                ? Optional.empty()
                : Optional.of(engines.orderedModel(upstream.upstreamId()).orElse(target.model()));
    }
}
