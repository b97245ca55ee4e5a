package org.wagtailcart.settings.process;

/** Roles that a process can run. */
public enum ProcessRole {
    ENTRY,
    CONTROL,
    SIDECAR,
    GATEWAY
}
