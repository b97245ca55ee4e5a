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

/**
 * Replicated state machine of the settings tree and its history. Confined to the control thread; the immutable
 * {@link #history()} may be passed to other threads.
 */
public final class SettingsState {
    /**
     * Content of an encoded snapshot.
     *
     * @param baseRevision revision of the tree before the oldest retained change
     * @param base edits that build that tree
     * @param changes retained changes, oldest first
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

    /** Creates a state with an empty tree. */
    public SettingsState() {
        this(ChangeResults.MAX_RETAINED);
    }

    SettingsState(int maxRetained) {
        this.maxRetained = maxRetained;
        this.changeResults = new ChangeResults(maxRetained);
    }

    /** Returns the tree in force. */
    public SettingsTree tree() {
        return history.current();
    }

    /** Returns the tree in force and the retained changes. */
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
     * Returns the tree that results from a change.
     *
     * @throws WagtailcartException with the result code of the refusal
     */
    public static SettingsTree validate(SettingsTree tree, List<SettingsEdit> edits, EngineStatusSource engines) {
        if (edits.isEmpty()) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "edits: a change needs at least one edit");
        }
        SettingsTree next = tree.withEdits(tree.revision() + 1, edits);
        checkModelsServed(tree, next, engines);
        checkOrdersInProgress(tree, next, engines);
        WorkspaceKeyDigests.check(next, edits);
        return next;
    }

    /** Returns the encoded snapshot of the state. */
    public byte[] snapshot() {
        return CODEC.encode(new Snapshot(
                history.base().revision(),
                history.base().toEdits(),
                List.copyOf(history.changes().values()),
                changeResults.toList()));
    }

    /** Replaces the state with an encoded snapshot. */
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

    private static ApplySettingsResult resultOfResent(ChangeResults.Entry recorded, String fingerprint) {
        if (!recorded.fingerprint().equals(fingerprint)) {
            return new ApplySettingsResult(
                    ResultCode.CHANGE_ID_REUSED.number(),
                    recorded.resultNumber(),
                    "change id \"" + recorded.changeId() + "\" belongs to another change");
        }
        return new ApplySettingsResult(recorded.codeNumber(), recorded.resultNumber(), recorded.message());
    }

    private static void checkModelsServed(SettingsTree before, SettingsTree after, EngineStatusSource engines) {
        if (before.upstreams().equals(after.upstreams())) {
            return;
        }
        Set<String> unservedModels = new TreeSet<>(servedModels(before, engines));
        unservedModels.removeAll(servedModels(after, engines));
        if (!unservedModels.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.MODEL_WITHOUT_ENGINE,
                    "the change leaves " + String.join(", ", unservedModels)
                            + " without an engine that is not leaving");
        }
    }

    /**
     * Rejects a change that removes an upstream with an order in progress or changes its addresses or sidecar. An
     * engine that returns under another upstream id or gets another sidecar could receive an order while the started
     * one is still being delivered.
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
