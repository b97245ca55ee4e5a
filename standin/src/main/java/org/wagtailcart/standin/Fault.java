package org.wagtailcart.standin;

/**
 * One switch for a fault.
 *
 * @param kind what goes wrong
 * @param count number of requests it hits
 * @param afterTokens tokens of a stream, or bytes of a whole answer, written before it hits
 * @param delayMillis time to wait for the kinds that wait
 */
public record Fault(FaultKind kind, int count, int afterTokens, long delayMillis) {
    /** Returns a fault that hits one request. */
    public static Fault once(FaultKind kind) {
        return new Fault(kind, 1, 3, 500);
    }
}
