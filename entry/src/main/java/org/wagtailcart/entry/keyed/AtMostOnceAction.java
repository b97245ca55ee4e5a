package org.wagtailcart.entry.keyed;

import java.util.Set;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptQuery;

/** Something that a keyed call wants done. The event that answers it carries the same step. */
public sealed interface AtMostOnceAction {
    /**
     * Choose an upstream.
     *
     * @param step step of this action
     * @param excluded upstreams that did not take the call
     * @param reason why a route is wanted
     */
    record ChooseRoute(int step, Set<String> excluded, RouteReason reason) implements AtMostOnceAction {}

    /** Why a route is wanted. */
    enum RouteReason {
        /** First attempt of this call. */
        FIRST_ATTEMPT(false),
        /** A sidecar refused; counts against the retry budget. */
        RETRY(true),
        /** A sidecar has newer settings, or another entry's attempt turned out not to have run. */
        UNBUDGETED_RETRY(false);

        private final boolean usesRetryBudget;

        RouteReason(boolean usesBudget) {
            this.usesRetryBudget = usesBudget;
        }

        /** Returns whether the route counts as a retry. */
        public boolean usesRetryBudget() {
            return usesRetryBudget;
        }
    }

    /** Submit a command or query of the key registry. */
    record SubmitCommand(int step, Object command) implements AtMostOnceAction {}

    /** Send the attempt; it must be sent once. */
    record SendAttempt(int step, String attemptId, long attemptNumber, long epoch, String upstreamId)
            implements AtMostOnceAction {}

    /** Ask a sidecar what became of an attempt. */
    record QueryAttempt(int step, AttemptQuery query) implements AtMostOnceAction {}

    /** Wait. */
    record Delay(int step, long delayMillis) implements AtMostOnceAction {}

    /** Ask for newer settings. */
    record SyncSettings() implements AtMostOnceAction {}

    /** Give the answer to the caller. */
    record Respond(RecordedResponse response, boolean replayed) implements AtMostOnceAction {}

    /** Refuse the call. */
    record Fail(ResultCode code, RunState runState, boolean repeatSafe) implements AtMostOnceAction {}

    /** Nothing is left to do. */
    record Finish() implements AtMostOnceAction {}
}
