package org.wagtailcart.policy.quarantine;

/**
 * Identity of the content of a request, which stays the same when its caller sends it again under another request id.
 * It is evidence of a crash like a shared segment of its prompt.
 */
public final class RequestKey {
    private static final String PREFIX = "request:";

    private RequestKey() {}

    /** Returns the key of the content with the given identity. */
    public static String of(String identity) {
        return PREFIX + identity;
    }

    static boolean isRequestKey(String id) {
        return id.startsWith(PREFIX);
    }
}
