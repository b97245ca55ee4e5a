package org.wagtailcart.policy.share;

/**
 * Limit on a workspace that asks for more than its share of a contended service.
 *
 * @param service the service
 * @param workspace the workspace
 * @param admitFraction fraction of its cost that gateways admit
 */
public record WorkspaceShare(String service, String workspace, double admitFraction) {}
