package org.wagtailcart.gateway.call;

import java.util.Set;

/** Set of the HTTP statuses that guarantee to a caller that its request did not run. */
final class NotRunStatuses {
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private NotRunStatuses() {}

    static boolean notRun(int status) {
        return NOT_RUN.contains(status);
    }
}
