package org.wagtailcart.control.http;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.control.client.ProcessStatus;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsChange;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.ValueChange;

/** Bodies of requests and responses. Field names are written with underscores, enum constants with hyphens. */
final class Bodies {
    private Bodies() {}

    /** An edit; {@code kind} is {@code set}, {@code unset}, {@code remove-branch} or {@code move-branch}. */
    record Edit(String kind, String branch, @Nullable String key, @Nullable String value) {}

    /** Request: changes the tree. */
    record ApplyEdits(String changeId, String operator, @Nullable Long expectedRevision, List<Edit> edits) {}

    /** Request: changes a lifecycle. */
    record ChangeLifecycle(String changeId, String operator, String lifecycle, @Nullable String replacementId) {}

    /** Request: orders a configuration; a missing field keeps the current one. */
    record IssueOrderBody(
            String changeId,
            @Nullable String role,
            @Nullable String model,
            @Nullable String adapter,
            @Nullable String version,
            @Nullable Long expectedOrderNumber) {}

    /** Request: changes the membership; {@code kind} is {@code add-learner}, {@code promote} or {@code remove}. */
    record ChangeMember(String kind, String memberId, @Nullable Long incarnation, @Nullable String address) {}

    /** Response: the change is committed. */
    record SettingsChanged(long revision, List<SettingsEdit> edits) {}

    /** A value in force and the branch that sets it. */
    record EffectiveValue(String value, String origin) {}

    /** One branch. */
    record Branch(String branch, Map<String, String> own, Map<String, EffectiveValue> effective) {}

    /** Response: branches of the tree. */
    record Tree(long revision, List<Branch> branches) {}

    /** Response: latest changes, newest first. */
    record History(long revision, List<SettingsChange> changes) {}

    /** Response: differences of own values. */
    record Comparison(long from, long to, List<ValueChange> differences) {}

    /** Response: upstreams. */
    record Upstreams(long fleetVersion, Collection<UpstreamView> upstreams) {}

    /** Response: the lifecycle change or order is committed. */
    record UpstreamChanged(String upstreamId, long orderNumber) {}

    /** Response: membership. */
    record MemberList(long index, String leader, List<Member> members) {}

    /** Response: this member and the processes the leader knows. */
    record Status(
            String memberId,
            RaftStatus.Role role,
            long term,
            String leader,
            long commitIndex,
            long appliedIndex,
            long confirmationAgeMillis,
            long revision,
            long fleetVersion,
            List<ProcessStatus> processes) {}

    /** Response: whether a revision is in force in every process that may serve. */
    record InForce(long revision, boolean inForce, List<ProcessStatus> lagging) {}

    /** Response: a refusal. */
    record ErrorBody(ErrorDetails error) {}

    /** Why a request was refused. */
    record ErrorDetails(int code, String type, String message, String runState, boolean repeatSafe) {}

    /** Response: metrics. */
    record Metrics(List<Metric> metrics) {}

    /** One metric; {@code perSecond} is the one-minute rate, {@code value} a gauge or the p95 of a timer. */
    record Metric(String name, String kind, long count, double perSecond, String value) {}
}
