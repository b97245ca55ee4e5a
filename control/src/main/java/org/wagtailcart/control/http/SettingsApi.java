package org.wagtailcart.control.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.SettingsHistory;
import org.wagtailcart.settings.SettingsIni;
import org.wagtailcart.settings.SettingsKey;
import org.wagtailcart.settings.SettingsTree;

/** Operator endpoints for the settings tree and its history. */
final class SettingsApi {
    private static final int MAX_HISTORY = 1_000;

    private final OperatorBackend backend;
    private final JsonCodec json;

    SettingsApi(OperatorBackend backend, JsonCodec json) {
        this.backend = backend;
        this.json = json;
    }

    Record tree(OperatorRequest request) {
        SettingsTree tree = current();
        String branch = request.parameter("branch").orElse("/");
        if (!tree.exists(branch) && !branch.equals("/")) {
            throw new WagtailcartException(
                    ResultCode.NOT_FOUND, "branch " + branch + " does not exist in revision " + tree.revision());
        }
        Stream<String> paths = request.flag("below") ? tree.subtree(branch).keySet().stream() : Stream.of(branch);
        return new Bodies.Tree(
                tree.revision(), paths.map(path -> branchBody(tree, path)).toList());
    }

    OperatorResponse ini(OperatorRequest request) {
        SettingsTree tree = current();
        return OperatorResponse.text(
                SettingsIni.export(tree, request.parameter("branch").orElse("/")),
                Map.of("Wagtailcart-Revision", String.valueOf(tree.revision())));
    }

    CompletableFuture<Record> apply(OperatorRequest request) {
        Bodies.ApplyEdits body = json.read(request.body(), Bodies.ApplyEdits.class);
        List<SettingsEdit> edits =
                body.edits().stream().map(SettingsApi::toSettingsEdit).toList();
        long expected = Objects.requireNonNullElse(body.expectedRevision(), -1L);
        if (expected < 0) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "body field \"expected_revision\" is missing; expected the revision on which the edits are based");
        }
        return submit(new ApplySettings(
                ArgumentChecks.checkChangeId(body.changeId()),
                ArgumentChecks.checkOperator(body.operator()),
                expected,
                edits));
    }

    CompletableFuture<Record> applyIni(OperatorRequest request) {
        String changeId = ArgumentChecks.checkChangeId(request.requiredParameter("change_id"));
        String operator = ArgumentChecks.checkOperator(request.requiredParameter("operator"));
        long expected = request.number("expected_revision", 0, Long.MAX_VALUE);
        SettingsHistory history = backend.state().settings();
        // The edits are computed against the expected revision, not the current one, so that a resent file yields the
        // same command and gets the result of the first one.
        SettingsTree base = expected > history.current().revision() ? history.current() : history.treeAt(expected);
        List<SettingsEdit> edits = SettingsIni.toEdits(base, utf8(request.body()), request.flag("replace"));
        if (edits.isEmpty()) {
            return CompletableFuture.completedFuture(new Bodies.SettingsChanged(expected, List.of()));
        }
        return submit(new ApplySettings(changeId, operator, expected, edits));
    }

    Record history(OperatorRequest request) {
        int limit = (int) request.number("limit", 1, MAX_HISTORY, 50);
        SettingsHistory history = backend.state().settings();
        return new Bodies.History(history.current().revision(), history.latestChanges(limit));
    }

    Record compare(OperatorRequest request) {
        long from = request.number("from", 0, Long.MAX_VALUE);
        SettingsHistory history = backend.state().settings();
        long to = request.number("to", 0, Long.MAX_VALUE, history.current().revision());
        return new Bodies.Comparison(from, to, history.compare(from, to));
    }

    private SettingsTree current() {
        return backend.state().settings().current();
    }

    private CompletableFuture<Record> submit(ApplySettings command) {
        return backend.submit(command, ApplySettingsResult.class).thenApply(result -> {
            ArgumentChecks.checkResult(result.codeNumber(), result.message());
            return new Bodies.SettingsChanged(result.revision(), command.edits());
        });
    }

    private static Bodies.Branch branchBody(SettingsTree tree, String branch) {
        Map<String, Bodies.EffectiveValue> effective = new TreeMap<>();
        Stream.of(SettingsKey.values()).map(SettingsKey::settingName).forEach(key -> tree.originBranch(branch, key)
                .ifPresent(origin -> effective.put(
                        key,
                        new Bodies.EffectiveValue(
                                tree.effectiveValue(branch, key).orElse(""), origin))));
        return new Bodies.Branch(branch, new TreeMap<>(tree.ownValues(branch)), effective);
    }

    private static SettingsEdit toSettingsEdit(Bodies.Edit edit) {
        if (edit == null || edit.kind() == null || edit.branch() == null) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "body field \"edits\": an edit lacks \"kind\" or \"branch\"");
        }
        return new SettingsEdit(
                SettingNames.parse(SettingsEdit.Kind.values(), edit.kind(), "body field \"kind\""),
                edit.branch(),
                Objects.requireNonNullElse(edit.key(), ""),
                Objects.requireNonNullElse(edit.value(), ""));
    }

    private static String utf8(byte[] bytes) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new WagtailcartException(ResultCode.INVALID_SETTINGS_FILE, "settings file is not valid UTF-8", e);
        }
    }
}
