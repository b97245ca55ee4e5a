package org.wagtailcart.once;

/** Query for the {@link KeyResult} of a key, which the leader executes after it has confirmed its leadership. */
public record LookupKey(KeyId keyId, String fingerprint) {}
