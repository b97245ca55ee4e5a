package org.wagtailcart.once;

/** Command: records the response to an attempt. Has no effect unless that attempt holds the key. */
public record CompleteKey(KeyId keyId, String attemptId, RecordedResponse response) {}
