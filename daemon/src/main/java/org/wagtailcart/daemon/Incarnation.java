package org.wagtailcart.daemon;

import java.security.SecureRandom;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Random number that distinguishes this run of the process from earlier ones. */
@Singleton
final class Incarnation {
    private final long number = new SecureRandom().nextLong(1, Long.MAX_VALUE);

    @Inject
    Incarnation() {}

    long number() {
        return number;
    }
}
