package org.wagtailcart.gateway.list;

/** Outcome of a request at an upstream, as recorded by the health tracking. */
public enum UpstreamOutcome {
    /** The upstream returned a successful response. */
    SUCCESS,
    /** The upstream ran the request and returned an error response. */
    ERROR_RESPONSE,
    /** No complete and valid response was received. */
    NO_RESPONSE
}
