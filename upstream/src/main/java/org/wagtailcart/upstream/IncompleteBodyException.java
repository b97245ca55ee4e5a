package org.wagtailcart.upstream;

import java.net.ProtocolException;

/** Thrown at the end of a response body that ends with its connection, if the connection did not end regularly. */
final class IncompleteBodyException extends ProtocolException {
    private static final long serialVersionUID = 1L;

    IncompleteBodyException() {
        super("connection failed before the request was written in full; only its end would end the response body");
    }
}
