package org.wagtailcart.upstream;

import java.net.ProtocolException;

/** Thrown at the end of a response body that contains bytes of another response. */
public final class ForeignBodyException extends ProtocolException {
    private static final long serialVersionUID = 1L;

    ForeignBodyException() {
        super("response body contains bytes of another response");
    }
}
