package org.wagtailcart.once;

/** Query answered by the leader after it has confirmed its leadership; the result is a {@link KeyResult}. */
public record LookupKey(KeyId keyId, String fingerprint) {}
