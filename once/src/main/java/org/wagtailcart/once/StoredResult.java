package org.wagtailcart.once;

/**
 * First result of a reservation, returned again for a resent command.
 *
 * @param attemptId attempt of the command
 * @param keyId key of the command
 * @param result the result without the recorded response
 * @param deadlineMillis state machine time at which the record expires
 */
record StoredResult(String attemptId, KeyId keyId, KeyResult result, long deadlineMillis) {}
