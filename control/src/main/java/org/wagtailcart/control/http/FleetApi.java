package org.wagtailcart.control.http;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.PublishedState;
import org.wagtailcart.control.client.ProcessStatus;
import org.wagtailcart.control.client.ProcessesReply;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.MembershipChange;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.fleet.FleetResult;
import org.wagtailcart.fleet.IssueOrder;
import org.wagtailcart.fleet.SetLifecycle;
import org.wagtailcart.fleet.UpstreamView;

/** Operator endpoints for upstreams, members and processes. */
final class FleetApi {
    private static final long POLL_INTERVAL_MILLIS = 200;
    private static final long MAX_WAIT_MILLIS = 120_000;

    private final OperatorBackend backend;
    private final JsonCodec json;
    private final Executor executor;
    private final MillisClock clock = MillisClock.monotonic();

    FleetApi(OperatorBackend backend, JsonCodec json, Executor executor) {
        this.backend = backend;
        this.json = json;
        this.executor = executor;
    }

    Record upstreams(OperatorRequest request) {
        PublishedState state = backend.state();
        return new Bodies.Upstreams(
                state.fleet().version(), state.fleet().upstreams().values());
    }

    Record upstream(OperatorRequest request) {
        return requireUpstream(request.requiredParameter("id"));
    }

    CompletableFuture<Record> lifecycle(OperatorRequest request) {
        Bodies.ChangeLifecycle body = json.read(request.body(), Bodies.ChangeLifecycle.class);
        SetLifecycle command = new SetLifecycle(
                ArgumentChecks.checkChangeId(body.changeId()),
                ArgumentChecks.checkOperator(body.operator()),
                request.requiredParameter("id"),
                SettingNames.parse(Lifecycle.values(), body.lifecycle(), "body field \"lifecycle\""),
                Objects.requireNonNullElse(body.replacementId(), ""));
        return submit(command.upstreamId(), command);
    }

    CompletableFuture<Record> order(OperatorRequest request) {
        Bodies.IssueOrderBody body = json.read(request.body(), Bodies.IssueOrderBody.class);
        UpstreamView upstream = requireUpstream(request.requiredParameter("id"));
        EngineTarget current = upstream.target();
        if (current == null) {
            throw new WagtailcartException(
                    ResultCode.LIFECYCLE_CONFLICT, "upstream \"" + upstream.upstreamId() + "\" is not an engine");
        }
        EngineTarget target = new EngineTarget(
                Optional.ofNullable(body.role()).map(EngineRole::parse).orElse(current.role()),
                Objects.requireNonNullElse(body.model(), current.model()),
                Objects.requireNonNullElse(body.adapter(), current.adapter()),
                Objects.requireNonNullElse(body.version(), current.version()));
        long expected = expectedOrderNumber(body.expectedOrderNumber());
        return submit(
                upstream.upstreamId(),
                new IssueOrder(ArgumentChecks.checkChangeId(body.changeId()), upstream.upstreamId(), target, expected));
    }

    Record members(OperatorRequest request) {
        RaftStatus status = backend.status();
        return memberList(status.membership().index(), status.membership().members());
    }

    CompletableFuture<Record> changeMembers(OperatorRequest request) {
        Bodies.ChangeMember body = json.read(request.body(), Bodies.ChangeMember.class);
        MembershipChange.Kind kind =
                SettingNames.parse(MembershipChange.Kind.values(), body.kind(), "body field \"kind\"");
        return backend.changeMembers(new MembershipChange(kind, member(kind, body)))
                .thenApply(members -> memberList(members.index(), members.members()));
    }

    CompletableFuture<Record> status(OperatorRequest request) {
        return backend.processes().thenApply(processes -> statusBody(processes.processes()));
    }

    CompletableFuture<Record> waitInForce(OperatorRequest request) {
        long revision = request.number("revision", 0, Long.MAX_VALUE);
        long timeoutMillis = request.number("limit_millis", 0, MAX_WAIT_MILLIS, 20_000);
        return pollInForce(revision, clock.nowMillis() + timeoutMillis);
    }

    private CompletableFuture<Record> pollInForce(long revision, long deadlineMillis) {
        return backend.processes().thenCompose(processes -> {
            Bodies.InForce response = inForce(revision, processes);
            if (response.inForce() || clock.nowMillis() >= deadlineMillis) {
                return CompletableFuture.completedFuture(response);
            }
            return CompletableFuture.supplyAsync(
                            () -> revision,
                            CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, executor))
                    .thenCompose(polledRevision -> pollInForce(polledRevision, deadlineMillis));
        });
    }

    /**
     * Returns whether a revision is in force everywhere. A process without contact for longer than the lease serves no
     * requests and does not count. A new leader must have collected syncs for the length of the lease before it has
     * seen every process that may serve.
     */
    private Bodies.InForce inForce(long revision, ProcessesReply processes) {
        List<ProcessStatus> lagging = processes.processes().stream()
                .filter(process -> process.ageMillis() <= backend.leaseMillis() && process.revision() < revision)
                .toList();
        boolean allProcessesSeen = processes.leading() && processes.observedMillis() >= backend.leaseMillis();
        boolean locallyInForce = backend.state().settings().current().revision() >= revision;
        return new Bodies.InForce(revision, allProcessesSeen && locallyInForce && lagging.isEmpty(), lagging);
    }

    private Bodies.Status statusBody(List<ProcessStatus> processes) {
        RaftStatus status = backend.status();
        PublishedState state = backend.state();
        return new Bodies.Status(
                status.self().memberId(),
                status.role(),
                status.term(),
                leaderId(status),
                status.commitIndex(),
                status.appliedIndex(),
                backend.confirmationAgeMillis(),
                state.settings().current().revision(),
                state.fleet().version(),
                processes);
    }

    private CompletableFuture<Record> submit(String upstreamId, Record command) {
        return backend.submit(command, FleetResult.class).thenApply(result -> {
            ArgumentChecks.checkResult(result.codeNumber(), result.message());
            return new Bodies.UpstreamChanged(upstreamId, result.orderNumber());
        });
    }

    private UpstreamView requireUpstream(String id) {
        UpstreamView upstream = backend.state().fleet().upstreams().get(id);
        if (upstream == null) {
            throw new WagtailcartException(
                    ResultCode.UPSTREAM_UNKNOWN, "upstream \"" + id + "\" is not in the settings tree");
        }
        return upstream;
    }

    private Member member(MembershipChange.Kind kind, Bodies.ChangeMember body) {
        if (kind == MembershipChange.Kind.ADD_LEARNER) {
            return new Member(
                    ArgumentChecks.checkOperator(body.memberId()),
                    requireField("incarnation", body.incarnation()),
                    Address.parse(requireField("address", body.address())),
                    false);
        }
        return backend.status().membership().members().stream()
                .filter(member -> member.memberId().equals(body.memberId()))
                .filter(member -> body.incarnation() == null || member.incarnation() == body.incarnation())
                .findFirst()
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.MEMBERSHIP_CHANGE_INVALID, "member \"" + body.memberId() + "\" is unknown"));
    }

    private Bodies.MemberList memberList(long index, List<Member> members) {
        return new Bodies.MemberList(index, leaderId(backend.status()), members);
    }

    private static String leaderId(RaftStatus status) {
        return status.leader().map(Member::memberId).orElse("");
    }

    private static long expectedOrderNumber(@Nullable Long number) {
        return requireField("expected_order_number", number);
    }

    private static <T> T requireField(String field, @Nullable T value) {
        if (value == null) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "body field \"" + field + "\" is missing");
        }
        return value;
    }
}
