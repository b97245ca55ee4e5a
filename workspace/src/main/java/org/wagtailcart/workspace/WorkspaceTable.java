package org.wagtailcart.workspace;

import java.util.List;

/**
 * All workspaces of a routing table. It holds digests of the API keys and no key.
 *
 * @param salt salt of the key digests
 * @param workspaces workspaces, in no particular order
 */
public record WorkspaceTable(byte[] salt, List<Workspace> workspaces) {}
