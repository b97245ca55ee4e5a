package org.wagtailcart.entry.keyed;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.once.KeyResult;
import org.wagtailcart.once.RecordedAnswer;
import org.wagtailcart.sidecar.message.AttemptStatus;

/** Something that happened to a keyed call. An event with a step answers the action with the same step. */
public sealed interface KeyedEvent {
    /** Returns the step of the action that this event answers. */
    int step();

    /** An upstream was chosen for an attempt with a fresh id. */
    record Routed(int step, String attemptId, String upstreamId, long epoch) implements KeyedEvent {}

    /** No upstream was chosen. */
    record NotRouted(int step, ResultCode code) implements KeyedEvent {}

    /** The control group answered a command or query. */
    record Committed(int step, KeyResult result) implements KeyedEvent {}

    /** The control group did not answer; a command may have been applied. */
    record NotCommitted(int step) implements KeyedEvent {}

    /** The whole answer to the attempt arrived and its counts match. */
    record Answered(int step, RecordedAnswer answer) implements KeyedEvent {}

    /** The attempt failed. */
    record AttemptFailed(int step, ResultCode code, RunState runState) implements KeyedEvent {}

    /** A sidecar answered a query. */
    record Status(int step, AttemptStatus status) implements KeyedEvent {}

    /** A query got no answer. */
    record NoStatus(int step, ResultCode code) implements KeyedEvent {}

    /** A pause is over. */
    record Resumed(int step) implements KeyedEvent {}

    /** The deadline of the caller passed. */
    record DeadlinePassed(int step) implements KeyedEvent {}
}
