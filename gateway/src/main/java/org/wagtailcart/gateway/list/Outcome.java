package org.wagtailcart.gateway.list;

/** What became of a request at an upstream, as far as its health goes. */
public enum Outcome {
    /** It was answered with success. */
    ANSWERED,
    /** The upstream ran it and answered with a failure. */
    FAILURE_ANSWER,
    /** There was no complete or no understandable answer. */
    NO_ANSWER
}
