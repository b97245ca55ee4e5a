package org.wagtailcart.settings.process;

/** Policy of an entry whose settings are no longer confirmed by the control group. */
public enum ControlLossPolicy {
    /** Refuses all new requests. */
    REFUSE,
    /** Continues to serve idempotent calls. */
    SERVE_IDEMPOTENT
}
