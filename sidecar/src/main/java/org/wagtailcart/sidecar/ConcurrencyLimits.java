package org.wagtailcart.sidecar;

/**
 * Limits of the requests that an upstream runs concurrently.
 *
 * @param hard limit with a valid power grant
 * @param soft limit without a valid power grant; load reports state whether it was exceeded
 * @param powerGranted whether the upstream has a valid power grant
 */
record ConcurrencyLimits(int hard, int soft, boolean powerGranted) {
    int effective() {
        return powerGranted ? hard : Math.min(hard, soft);
    }
}
