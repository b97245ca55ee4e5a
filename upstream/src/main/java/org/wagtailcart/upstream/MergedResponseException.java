package org.wagtailcart.upstream;

import java.net.ProtocolException;

/**
 * Thrown for a response head that was read from parts of two responses, so that its status and its header fields do not
 * belong together.
 */
public final class MergedResponseException extends ProtocolException {
    private static final long serialVersionUID = 1L;

    MergedResponseException(int status, String reasonPhrase) {
        super("response head contains a second status line; it begins with status " + status + " \"" + reasonPhrase
                + "\"");
    }
}
