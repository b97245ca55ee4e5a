package org.wagtailcart.once;

/** Command: frees a key after proof that its attempt did not run. Has no effect unless that attempt holds the key. */
public record ReleaseKey(KeyId keyId, String attemptId) {}
