package org.wagtailcart.workspace;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A workspace with its API keys.
 *
 * @param name name, which upstreams receive with each request
 * @param keyDigests digests of its keys, made with the salt of its {@link WorkspaceTable}
 * @param priority scheduling priority of its requests, 0 is the highest; null for that of the route
 */
public record Workspace(String name, List<String> keyDigests, @Nullable Integer priority) {}
