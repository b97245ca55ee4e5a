package org.wagtailcart.entry.keyed;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptStatus;

/** Something that happened to a keyed call. An event with a step answers the action with the same step. */
public sealed interface AtMostOnceEvent {
    /** Returns the step of the action that this event answers. */
    int step();

    /** An upstream was chosen for an attempt with a fresh id. */
    record Routed(int step, String attemptId, String upstreamId, long epoch) implements AtMostOnceEvent {}

    /** No upstream was chosen. */
    record NotRouted(int step, ResultCode code) implements AtMostOnceEvent {}

    /** The control group answered a command or query. */
    record Committed(int step, KeyResult result) implements AtMostOnceEvent {}

    /** The control group did not answer; a command may have been applied. */
    record NotCommitted(int step) implements AtMostOnceEvent {}

    /** The whole answer to the attempt arrived and its counts match. */
    record ResponseReceived(int step, RecordedResponse response) implements AtMostOnceEvent {}

    /** The attempt failed. */
    record AttemptFailed(int step, ResultCode code, RunState runState) implements AtMostOnceEvent {}

    /** A sidecar answered a query. */
    record AttemptStatusReceived(int step, AttemptStatus status) implements AtMostOnceEvent {}

    /** A query got no answer. */
    record AttemptStatusUnavailable(int step, ResultCode code) implements AtMostOnceEvent {}

    /** A pause is over. */
    record DelayElapsed(int step) implements AtMostOnceEvent {}

    /** The deadline of the caller passed. */
    record DeadlinePassed(int step) implements AtMostOnceEvent {}
}
