package org.wagtailcart.bench;

/** Health of a simulated service replica. */
enum ServiceState {
    UP,
    /** Fails every request at once, so that load-based routing sees an idle replica. */
    FAILING,
    /** Accepts requests and fails them after 1 s. */
    HANGING
}
