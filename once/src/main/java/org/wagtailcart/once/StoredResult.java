package org.wagtailcart.once;

/**
 * First result of a reservation, kept for a resent command.
 *
 * @param attemptId attempt of the command
 * @param keyId key of the command
 * @param result the result without its answer
 * @param deadlineMillis state machine time at which it is forgotten
 */
record StoredResult(String attemptId, KeyId keyId, KeyResult result, long deadlineMillis) {}
