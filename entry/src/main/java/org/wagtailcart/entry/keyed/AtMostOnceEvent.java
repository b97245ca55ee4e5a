package org.wagtailcart.entry.keyed;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptStatus;

/** Event of an {@link AtMostOnceCall}. An event with a step is the result of the action with the same step. */
public sealed interface AtMostOnceEvent {
    /** Returns the step of the action whose result this event is; a passed deadline has no such action. */
    int step();

    /** An upstream was chosen for an attempt with a new id. */
    record Routed(int step, String attemptId, String upstreamId, long epoch) implements AtMostOnceEvent {}

    /** No upstream was chosen, for the reason given by the code. */
    record NotRouted(int step, ResultCode code) implements AtMostOnceEvent {}

    /** The control group replied to a command or query. */
    record Committed(int step, KeyResult result) implements AtMostOnceEvent {}

    /** The control group did not reply; a command may have been applied. */
    record NotCommitted(int step) implements AtMostOnceEvent {}

    /** The complete response to the attempt was received and its counts match. */
    record ResponseReceived(int step, RecordedResponse response) implements AtMostOnceEvent {}

    /** The attempt failed; the run state says whether it may have run. */
    record AttemptFailed(int step, ResultCode code, RunState runState) implements AtMostOnceEvent {}

    /** A sidecar replied to a query. */
    record AttemptStatusReceived(int step, AttemptStatus status) implements AtMostOnceEvent {}

    /** A query failed or received no reply. */
    record AttemptStatusUnavailable(int step, ResultCode code) implements AtMostOnceEvent {}

    /** A delay has elapsed. */
    record DelayElapsed(int step) implements AtMostOnceEvent {}

    /** The deadline of the caller has passed. */
    record DeadlinePassed(int step) implements AtMostOnceEvent {}
}
