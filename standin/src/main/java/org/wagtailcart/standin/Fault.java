package org.wagtailcart.standin;

/**
 * A fault to inject into the next requests.
 *
 * @param kind kind of fault
 * @param count number of requests to inject it into
 * @param afterTokens tokens of a stream written before the fault
 * @param delayMillis delay, for the kinds of fault that delay
 */
public record Fault(FaultKind kind, int count, int afterTokens, long delayMillis) {
    /** Returns a fault for one request, after 3 tokens and with a delay of 500 ms where the kind uses them. */
    public static Fault once(FaultKind kind) {
        return new Fault(kind, 1, 3, 500);
    }
}
