package org.wagtailcart.sidecar;

/**
 * Requests that an upstream may run at once.
 *
 * @param hard with a valid power grant
 * @param soft without one
 * @param powerGranted whether a grant is valid
 */
record ConcurrencyLimits(int hard, int soft, boolean powerGranted) {
    int effective() {
        return powerGranted ? hard : Math.min(hard, soft);
    }
}
