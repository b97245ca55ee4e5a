package org.wagtailcart.once;

/**
 * First result of a command, kept for a resent one.
 *
 * @param commandId attempt id and kind of the command
 * @param keyId key of the command
 * @param result the result without its answer
 * @param deadlineMillis state machine time at which it is forgotten
 */
record StoredResult(CommandId commandId, KeyId keyId, KeyResult result, long deadlineMillis) {
    /**
     * Identifies a command.
     *
     * @param attemptId the attempt
     * @param kind simple class name of the command
     */
    record CommandId(String attemptId, String kind) {}
}
