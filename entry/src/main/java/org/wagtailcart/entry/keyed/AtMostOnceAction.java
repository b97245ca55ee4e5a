package org.wagtailcart.entry.keyed;

import java.util.Set;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptQuery;

/** Action that an {@link AtMostOnceCall} requests. The event with its result carries the same step. */
public sealed interface AtMostOnceAction {
    /**
     * Chooses an upstream.
     *
     * @param step step of this action
     * @param excluded upstreams that rejected the call
     * @param reason reason for the route
     */
    record ChooseRoute(int step, Set<String> excluded, RouteReason reason) implements AtMostOnceAction {}

    /** Reason for a route. */
    enum RouteReason {
        /** First attempt of this call. */
        FIRST_ATTEMPT(false),
        /** A sidecar rejected the attempt; counts against the retry budget. */
        RETRY(true),
        /** A sidecar has newer settings, or another call's attempt was found not to have run. */
        UNBUDGETED_RETRY(false);

        private final boolean usesRetryBudget;

        RouteReason(boolean usesRetryBudget) {
            this.usesRetryBudget = usesRetryBudget;
        }

        /** Returns whether the route counts against the retry budget. */
        public boolean usesRetryBudget() {
            return usesRetryBudget;
        }
    }

    /** Submits a command or query to the key registry. */
    record SubmitCommand(int step, Object command) implements AtMostOnceAction {}

    /** Sends the attempt; it must not be sent twice. */
    record SendAttempt(int step, String attemptId, long attemptNumber, long epoch, String upstreamId)
            implements AtMostOnceAction {}

    /** Queries a sidecar for the status of an attempt. */
    record QueryAttempt(int step, AttemptQuery query) implements AtMostOnceAction {}

    /** Requests an event after a delay. */
    record Delay(int step, long delayMillis) implements AtMostOnceAction {}

    /** Requests newer settings before the next route is chosen. */
    record SyncSettings() implements AtMostOnceAction {}

    /** Sends the response to the caller. */
    record Respond(RecordedResponse response, boolean replayed) implements AtMostOnceAction {}

    /** Sends an error to the caller. */
    record Fail(ResultCode code, RunState runState, boolean repeatSafe) implements AtMostOnceAction {}

    /** Ends the call; no action follows. */
    record Finish() implements AtMostOnceAction {}
}
