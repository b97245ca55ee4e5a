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

/** JSON bodies of requests and responses. Field names are in snake case, enum constants in lower case with hyphens. */
final class Bodies {
    private Bodies() {}

    /**
     * An edit of the settings tree; {@code kind} is {@code set}, {@code unset}, {@code remove-branch} or
     * {@code move-branch}.
     */
    record Edit(String kind, String branch, @Nullable String key, @Nullable String value) {}

    /** Request to change the settings tree. */
    record ApplyEdits(String changeId, String operator, @Nullable Long expectedRevision, List<Edit> edits) {}

    /** Request to change the lifecycle of an upstream. */
    record ChangeLifecycle(String changeId, String operator, String lifecycle, @Nullable String replacementId) {}

    /** Request to order an engine configuration; a missing field keeps the current value. */
    record IssueOrderBody(
            String changeId,
            @Nullable String role,
            @Nullable String model,
            @Nullable String adapter,
            @Nullable String version,
            @Nullable Long expectedOrderNumber) {}

    /** Request to change the membership; {@code kind} is {@code add-learner}, {@code promote} or {@code remove}. */
    record ChangeMember(String kind, String memberId, @Nullable Long incarnation, @Nullable String address) {}

    /** Response after a settings change is committed, with its revision and edits. */
    record SettingsChanged(long revision, List<SettingsEdit> edits) {}

    /** Effective value of a key and the branch that sets it. */
    record EffectiveValue(String value, String origin) {}

    /** Branch of the settings tree with its own and its effective values. */
    record Branch(String branch, Map<String, String> own, Map<String, EffectiveValue> effective) {}

    /** Response with branches of the settings tree. */
    record Tree(long revision, List<Branch> branches) {}

    /** Response with the latest settings changes, newest first. */
    record History(long revision, List<SettingsChange> changes) {}

    /** Response with the differences in own values between two revisions. */
    record Comparison(long from, long to, List<ValueChange> differences) {}

    /** Response with all upstreams. */
    record Upstreams(long fleetVersion, Collection<UpstreamView> upstreams) {}

    /** Response after a lifecycle change or order is committed. */
    record UpstreamChanged(String upstreamId, long orderNumber) {}

    /** Response with the membership of the control group. */
    record MemberList(long index, String leader, List<Member> members) {}

    /** Response with the status of this member and of the processes tracked by the leader. */
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

    /** Response that states whether a revision is in force in every process that may serve. */
    record InForce(long revision, boolean inForce, List<ProcessStatus> lagging) {}

    /** Response to a failed request. */
    record ErrorBody(ErrorDetails error) {}

    /** Error code, message and run state of a failed request. */
    record ErrorDetails(int code, String type, String message, String runState, boolean repeatSafe) {}

    /** Response with the metrics of the process. */
    record Metrics(List<Metric> metrics) {}

    /** One metric; {@code perSecond} is the one-minute rate, {@code value} a gauge or the p95 of a timer. */
    record Metric(String name, String kind, long count, double perSecond, String value) {}
}
