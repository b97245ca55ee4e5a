package org.wagtailcart.settings.process;

/** Roles that a daemon can take. */
public enum ProcessRole {
    ENTRY,
    CONTROL,
    SIDECAR,
    GATEWAY
}
