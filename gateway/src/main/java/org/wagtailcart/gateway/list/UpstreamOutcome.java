package org.wagtailcart.gateway.list;

/** What became of a request at an upstream, as far as its health goes. */
public enum UpstreamOutcome {
    /** It was answered with success. */
    SUCCESS,
    /** The upstream ran it and answered with a failure. */
    ERROR_RESPONSE,
    /** There was no complete or no understandable answer. */
    NO_RESPONSE
}
