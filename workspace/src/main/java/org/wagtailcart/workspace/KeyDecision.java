package org.wagtailcart.workspace;

import java.util.Optional;

/**
 * Decision on the API key of a request.
 *
 * @param verdict verdict on the key
 * @param workspace workspace of the key, empty if the request is refused
 */
public record KeyDecision(KeyVerdict verdict, Optional<Workspace> workspace) {
    static KeyDecision accepted(Workspace workspace) {
        return new KeyDecision(KeyVerdict.ACCEPTED, Optional.of(workspace));
    }

    static KeyDecision refused(KeyVerdict verdict) {
        return new KeyDecision(verdict, Optional.empty());
    }
}
