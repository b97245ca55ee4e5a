package org.wagtailcart.settings.process;

/** What an entry does when its settings are no longer confirmed. */
public enum ControlLossPolicy {
    /** Refuses all new work. */
    REFUSE,
    /** Keeps idempotent calls going. */
    SERVE_IDEMPOTENT
}
