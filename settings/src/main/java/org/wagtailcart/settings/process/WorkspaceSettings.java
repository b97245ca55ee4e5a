package org.wagtailcart.settings.process;

/**
 * Settings of a gateway for the API keys of workspaces.
 *
 * @param strictRevoke whether a gateway out of contact refuses keys, because they may have been withdrawn
 * @param revokeLimitMillis time without a confirmation of the routing table after which it refuses them
 */
public record WorkspaceSettings(boolean strictRevoke, long revokeLimitMillis) {}
