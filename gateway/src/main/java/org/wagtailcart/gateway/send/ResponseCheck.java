package org.wagtailcart.gateway.send;

import java.util.List;

/** Decides whether a response belongs to the request that waits for it. */
@FunctionalInterface
public interface ResponseCheck {
    /** Accepts every response, for requests whose response is not used. */
    ResponseCheck NONE = (status, headers, connection) -> {};

    /**
     * Checks the head of a response. If it is rejected, its connection is closed before another request can use it.
     *
     * @param headers header lines, names and values alternating
     * @throws org.wagtailcart.common.WagtailcartException with
     *     {@link org.wagtailcart.common.ResultCode#ANSWER_MISMATCH} if the response may belong to another request
     */
    void check(int status, List<String> headers, ConnectionUse connection);
}
