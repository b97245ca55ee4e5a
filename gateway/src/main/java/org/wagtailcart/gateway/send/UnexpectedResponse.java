package org.wagtailcart.gateway.send;

/** Ways in which an upstream sends bytes that are no response to the request that waits for one. */
public enum UnexpectedResponse {
    /** Bytes on an idle connection, found before the next request was written. */
    IDLE_BYTES,
    /** A response head with a second status line in it: parts of two responses that were read as one. */
    MERGED_HEAD,
    /** A response body that contains bytes of another response. */
    FOREIGN_BODY,
    /** Bytes that cannot be read as a response head. */
    INVALID_HEAD,
    /** A response with the id of another request, or without one. */
    OTHER_REQUEST
}
