package org.wagtailcart.once;

import org.jspecify.annotations.Nullable;

/**
 * Record of one key in the registry.
 *
 * @param keyId the key
 * @param fingerprint hash of the request
 * @param attemptId attempt that holds or held the key
 * @param attemptNumber log index of its reservation
 * @param upstreamId upstream of the attempt
 * @param epoch sidecar epoch of the attempt
 * @param state IN_FLIGHT, COMPLETED or UNKNOWN
 * @param deadlineMillis state machine time at which an in-flight key becomes UNKNOWN and any other expires
 * @param response recorded response when COMPLETED, else null
 */
record StoredKey(
        KeyId keyId,
        String fingerprint,
        String attemptId,
        long attemptNumber,
        String upstreamId,
        long epoch,
        KeyState state,
        long deadlineMillis,
        @Nullable RecordedResponse response) {
    static StoredKey reserved(ReserveKey command, long index, long deadlineMillis) {
        return new StoredKey(
                command.keyId(),
                command.fingerprint(),
                command.attemptId(),
                index,
                command.upstreamId(),
                command.epoch(),
                KeyState.IN_FLIGHT,
                deadlineMillis,
                null);
    }

    StoredKey withState(KeyState next, long nextDeadlineMillis, @Nullable RecordedResponse nextResponse) {
        return new StoredKey(
                keyId,
                fingerprint,
                attemptId,
                attemptNumber,
                upstreamId,
                epoch,
                next,
                nextDeadlineMillis,
                nextResponse);
    }

    KeyResult result() {
        return resultWithState(state, response);
    }

    KeyResult resultWithState(KeyState resultState, @Nullable RecordedResponse resultResponse) {
        return new KeyResult(resultState, attemptId, attemptNumber, upstreamId, epoch, resultResponse);
    }

    int responseBytes() {
        RecordedResponse recorded = response;
        return recorded == null ? 0 : recorded.body().length;
    }
}
