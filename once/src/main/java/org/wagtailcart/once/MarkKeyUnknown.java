package org.wagtailcart.once;

/** Command: records that the outcome of an attempt is unknown. Has no effect unless that attempt holds the key. */
public record MarkKeyUnknown(KeyId keyId, String attemptId) {}
