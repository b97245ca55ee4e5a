package org.wagtailcart.entry.keyed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.entry.keyed.AtMostOnceAction.RouteReason;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.AttemptFailed;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.AttemptStatusReceived;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.AttemptStatusUnavailable;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.Committed;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.DeadlinePassed;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.DelayElapsed;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.NotCommitted;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.NotRouted;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.ResponseReceived;
import org.wagtailcart.entry.keyed.AtMostOnceEvent.Routed;
import org.wagtailcart.once.CompleteKey;
import org.wagtailcart.once.IdempotencyKeyRegistry;
import org.wagtailcart.once.KeyId;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.KeyState;
import org.wagtailcart.once.LookupKey;
import org.wagtailcart.once.MarkKeyUnknown;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.once.ReleaseKey;
import org.wagtailcart.once.ReserveKey;
import org.wagtailcart.sidecar.message.AttemptQuery;

/**
 * State machine of one at-most-once call at one entry: maps events and the current time to actions, without using a
 * clock, thread or network. At most one action with a step is outstanding; an event of another step is ignored.
 */
public final class AtMostOnceCall {
    /** Maximum number of key reservations that one call makes. */
    static final int MAX_ATTEMPTS = 4;

    /** Time after the deadline for which the outcome of a sent attempt is still queried and recorded. */
    static final long FOLLOW_UP_MILLIS = 60_000;

    static final long RETRY_DELAY_MILLIS = 100;

    private enum Phase {
        ROUTING,
        LOOKING_UP,
        RESERVING,
        SENDING,
        QUERYING,
        COMPLETING,
        RELEASING,
        MARKING_UNKNOWN,
        FINISHED
    }

    /**
     * Attempt for which the key is reserved.
     *
     * @param id attempt id
     * @param number log index of its reservation
     * @param upstreamId upstream of the attempt
     * @param epoch epoch of the sidecar
     * @param fromThisCall whether this call made the reservation
     */
    private record Attempt(String id, long number, String upstreamId, long epoch, boolean fromThisCall) {
        static Attempt of(KeyResult result, boolean fromThisCall) {
            return new Attempt(
                    result.attemptId(), result.attemptNumber(), result.upstreamId(), result.epoch(), fromThisCall);
        }

        AttemptQuery query() {
            return new AttemptQuery(id, number, epoch, upstreamId);
        }
    }

    private final KeyId keyId;
    private final String fingerprint;
    private final long deadlineMillis;
    private final Set<String> excluded = new HashSet<>();
    private final List<AtMostOnceAction> actions = new ArrayList<>();
    private Phase phase = Phase.ROUTING;
    private Attempt attempt = new Attempt("", 0, "", 0, false);
    private @Nullable RecordedResponse response;
    private ResultCode failureCode = ResultCode.KEY_RESERVATION_FAILED;
    private boolean delayPending;
    private boolean callerResponded;
    private int step;
    private int reservations;

    /**
     * Creates a call in its initial state.
     *
     * @param deadlineMillis monotonic time by which the caller requires its response
     */
    public AtMostOnceCall(KeyId keyId, String fingerprint, long deadlineMillis) {
        this.keyId = keyId;
        this.fingerprint = fingerprint;
        this.deadlineMillis = deadlineMillis;
    }

    /** Starts the call and returns its first actions. */
    public List<AtMostOnceAction> start() {
        chooseRoute(RouteReason.FIRST_ATTEMPT);
        return takeActions();
    }

    /** Applies an event and returns the actions that follow from it. */
    public List<AtMostOnceAction> onEvent(AtMostOnceEvent event, long nowMillis) {
        if (event instanceof DeadlinePassed) {
            deadlinePassed();
        } else if (event.step() == step && phase != Phase.FINISHED) {
            handle(event, nowMillis);
        }
        return takeActions();
    }

    /** Returns whether the call has ended, after which events are ignored. */
    public boolean finished() {
        return phase == Phase.FINISHED;
    }

    private void handle(AtMostOnceEvent event, long nowMillis) {
        if (event instanceof DelayElapsed) {
            delayElapsed(nowMillis);
        } else if (event instanceof Routed routed) {
            reserve(routed);
        } else if (event instanceof NotRouted notRouted) {
            lookUp(notRouted.code());
        } else if (event instanceof Committed committed) {
            committed(committed.result(), nowMillis);
        } else if (event instanceof NotCommitted) {
            notCommitted();
        } else if (event instanceof ResponseReceived received) {
            complete(received.response());
        } else if (event instanceof AttemptFailed failed) {
            attemptFailed(failed);
        } else if (event instanceof AttemptStatusReceived status) {
            attemptStatusReceived(status);
        } else if (event instanceof AttemptStatusUnavailable noStatus) {
            attemptStatusUnavailable(noStatus.code());
        }
    }

    private void chooseRoute(RouteReason reason) {
        phase = Phase.ROUTING;
        actions.add(new AtMostOnceAction.ChooseRoute(++step, Set.copyOf(excluded), reason));
    }

    /** Looks the key up before an error is sent, because an earlier request with the same key may have run. */
    private void lookUp(ResultCode code) {
        failureCode = code;
        submit(Phase.LOOKING_UP, new LookupKey(keyId, fingerprint));
    }

    private void reserve(Routed routed) {
        attempt = new Attempt(routed.attemptId(), 0, routed.upstreamId(), routed.epoch(), true);
        reservations++;
        submit(
                Phase.RESERVING,
                new ReserveKey(keyId, fingerprint, routed.attemptId(), routed.upstreamId(), routed.epoch()));
    }

    private void committed(KeyResult result, long nowMillis) {
        switch (phase) {
            case RESERVING -> reserved(result, nowMillis);
            case RELEASING -> released(result);
            case COMPLETING -> completed(result);
            default -> continueFrom(result);
        }
    }

    private void reserved(KeyResult result, long nowMillis) {
        if (result.state() != KeyState.RESERVED) {
            continueFrom(result);
            return;
        }
        attempt = Attempt.of(result, true);
        if (callerResponded || nowMillis >= deadlineMillis) {
            release(ResultCode.DEADLINE_UNREACHABLE);
            return;
        }
        phase = Phase.SENDING;
        actions.add(new AtMostOnceAction.SendAttempt(
                ++step, attempt.id(), attempt.number(), attempt.epoch(), attempt.upstreamId()));
    }

    /** Continues from the state of the key in the registry. */
    private void continueFrom(KeyResult result) {
        if (callerResponded) {
            finish();
            return;
        }
        switch (result.state()) {
            case COMPLETED -> replay(result.response());
            case UNKNOWN -> fail(ResultCode.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN);
            case FINGERPRINT_MISMATCH -> fail(ResultCode.IDEMPOTENCY_KEY_REUSED, RunState.NOT_RUN);
            case IN_FLIGHT, RESERVED -> awaitHolder(result);
            case FREE -> fail(failureCode, RunState.NOT_RUN);
        }
    }

    /**
     * Delays the query for the attempt that holds the key, so that its entry can send it first: a query prevents an
     * unsent attempt from running.
     */
    private void awaitHolder(KeyResult result) {
        attempt = Attempt.of(result, result.attemptId().equals(attempt.id()));
        phase = Phase.QUERYING;
        delay();
    }

    private void replay(@Nullable RecordedResponse recorded) {
        if (recorded == null || !recorded.bodyKept()) {
            fail(ResultCode.RECORDED_ANSWER_NOT_KEPT, RunState.RAN);
        } else {
            respond(recorded, true);
        }
    }

    private void attemptFailed(AttemptFailed failed) {
        if (failed.runState() != RunState.NOT_RUN) {
            queryAttempt(attempt);
            return;
        }
        if (failed.code() == ResultCode.SETTINGS_REVISION_STALE) {
            actions.add(new AtMostOnceAction.SyncSettings());
        } else {
            excluded.add(attempt.upstreamId());
        }
        release(failed.code());
    }

    private void queryAttempt(Attempt queried) {
        attempt = queried;
        phase = Phase.QUERYING;
        actions.add(new AtMostOnceAction.QueryAttempt(++step, attempt.query()));
    }

    private void attemptStatusReceived(AttemptStatusReceived event) {
        RecordedResponse recorded = event.status().response();
        switch (event.status().state()) {
            case RUNNING -> delay();
            case DONE -> {
                if (recorded == null) {
                    markUnknown();
                } else {
                    complete(recorded);
                }
            }
            case NOT_SENT -> release(ResultCode.UPSTREAM_REFUSED);
            case UNKNOWN -> markUnknown();
        }
    }

    private void attemptStatusUnavailable(ResultCode code) {
        if (code == ResultCode.EPOCH_SUPERSEDED) {
            markUnknown();
        } else {
            delay();
        }
    }

    private void complete(RecordedResponse received) {
        response = received;
        submit(Phase.COMPLETING, new CompleteKey(keyId, attempt.id(), toRecord(received)));
    }

    private void completed(KeyResult result) {
        RecordedResponse received = response;
        if (result.state() == KeyState.COMPLETED && result.attemptId().equals(attempt.id()) && received != null) {
            if (received.bodyKept()) {
                respond(received, !attempt.fromThisCall());
            } else {
                fail(ResultCode.RECORDED_ANSWER_NOT_KEPT, RunState.RAN);
            }
        } else if (result.state() == KeyState.COMPLETED) {
            replay(result.response());
        } else {
            fail(ResultCode.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN);
        }
    }

    private void release(ResultCode code) {
        failureCode = code;
        submit(Phase.RELEASING, new ReleaseKey(keyId, attempt.id()));
    }

    private void released(KeyResult result) {
        if (result.state() != KeyState.FREE) {
            continueFrom(result);
        } else if (callerResponded || failureCode == ResultCode.DEADLINE_UNREACHABLE || reservations >= MAX_ATTEMPTS) {
            fail(failureCode, RunState.NOT_RUN);
        } else if (!attempt.fromThisCall() || failureCode == ResultCode.SETTINGS_REVISION_STALE) {
            chooseRoute(RouteReason.UNBUDGETED_RETRY);
        } else {
            chooseRoute(RouteReason.RETRY);
        }
    }

    private void markUnknown() {
        submit(Phase.MARKING_UNKNOWN, new MarkKeyUnknown(keyId, attempt.id()));
    }

    private void notCommitted() {
        switch (phase) {
            case LOOKING_UP -> fail(failureCode, RunState.MAY_HAVE_RUN);
            case RESERVING -> {
                // The reservation may have been applied. Its attempt is never sent, so the key can be released.
                failCallerAndContinue(ResultCode.KEY_RESERVATION_FAILED, RunState.MAY_HAVE_RUN);
                release(ResultCode.KEY_RESERVATION_FAILED);
            }
            default -> delay();
        }
    }

    private void submit(Phase next, Object command) {
        phase = next;
        actions.add(new AtMostOnceAction.SubmitCommand(++step, command));
    }

    private void delay() {
        delayPending = true;
        actions.add(new AtMostOnceAction.Delay(++step, RETRY_DELAY_MILLIS));
    }

    /** Repeats the step that was interrupted by a delay. */
    private void delayElapsed(long nowMillis) {
        if (!delayPending) {
            return;
        }
        delayPending = false;
        if (nowMillis >= deadlineMillis + FOLLOW_UP_MILLIS) {
            fail(ResultCode.KEY_IN_PROGRESS, RunState.MAY_HAVE_RUN);
            return;
        }
        RecordedResponse received = response;
        switch (phase) {
            case QUERYING -> queryAttempt(attempt);
            case COMPLETING -> {
                if (received != null) {
                    complete(received);
                }
            }
            case RELEASING -> release(failureCode);
            case MARKING_UNKNOWN -> markUnknown();
            default -> throw new IllegalStateException("delay elapsed in unexpected phase " + phase);
        }
    }

    private void deadlinePassed() {
        switch (phase) {
            case FINISHED -> {}
            case ROUTING -> lookUp(ResultCode.DEADLINE_UNREACHABLE);
            case MARKING_UNKNOWN -> failCallerAndContinue(ResultCode.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN);
            default -> failCallerAndContinue(ResultCode.KEY_IN_PROGRESS, RunState.MAY_HAVE_RUN);
        }
    }

    private void respond(RecordedResponse complete, boolean replayed) {
        if (!callerResponded) {
            callerResponded = true;
            actions.add(new AtMostOnceAction.Respond(complete, replayed));
        }
        finish();
    }

    private void fail(ResultCode code, RunState runState) {
        failCallerAndContinue(code, runState);
        finish();
    }

    private void failCallerAndContinue(ResultCode code, RunState runState) {
        if (!callerResponded) {
            callerResponded = true;
            boolean notRunDespiteCode = runState == RunState.NOT_RUN && code.runState() != RunState.NOT_RUN;
            boolean repeatSafe = code.repeatSafe() || notRunDespiteCode;
            actions.add(new AtMostOnceAction.Fail(code, runState, repeatSafe));
        }
    }

    private void finish() {
        phase = Phase.FINISHED;
        actions.add(new AtMostOnceAction.Finish());
    }

    private List<AtMostOnceAction> takeActions() {
        List<AtMostOnceAction> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    /**
     * Returns the response to record, without its body when that exceeds the limit of the registry. The caller of this
     * attempt receives the complete response.
     */
    private static RecordedResponse toRecord(RecordedResponse complete) {
        return complete.body().length <= IdempotencyKeyRegistry.MAX_BODY_BYTES
                ? complete
                : new RecordedResponse(complete.status(), complete.headers(), new byte[0], false);
    }
}
