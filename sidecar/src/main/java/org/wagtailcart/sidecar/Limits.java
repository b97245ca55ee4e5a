package org.wagtailcart.sidecar;

/**
 * Requests that an upstream may run at once.
 *
 * @param hard with a valid power grant
 * @param soft without one
 * @param granted whether a grant is valid
 */
record Limits(int hard, int soft, boolean granted) {
    int current() {
        return granted ? hard : Math.min(hard, soft);
    }
}
