package org.wagtailcart.bench;

/** How a plain service replica behaves. */
enum ServiceState {
    UP,
    /** Fails at once, which makes it look idle. */
    FAILING,
    /** Takes requests and fails them after a second. */
    HANGING
}
