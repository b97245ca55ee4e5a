package org.wagtailcart.once;

/** Command: records the answer of an attempt. Has no effect unless that attempt holds the key. */
public record CompleteKey(KeyId keyId, String attemptId, RecordedResponse response) {}
