package org.wagtailcart.workspace;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A workspace with its API keys.
 *
 * @param name name, which upstreams receive with each request
 * @param keyDigests digests of its keys, made with the salt of its {@link WorkspaceTable}
 * @param priority scheduling priority of its requests, 0 is the highest; null for that of the route
 * @param weight its part of a contended service relative to that of other workspaces; null for 1
 * @param quotaPerSecond requests that all gateways together admit in a second; null for no limit
 */
public record Workspace(
        String name,
        List<String> keyDigests,
        @Nullable Integer priority,
        @Nullable Integer weight,
        @Nullable Double quotaPerSecond) {
    /** Largest weight. */
    public static final int MAX_WEIGHT = 1_000;

    /** Creates a workspace of weight 1 without a quota. */
    public Workspace(String name, List<String> keyDigests, @Nullable Integer priority) {
        this(name, keyDigests, priority, null, null);
    }

    /** Returns whether a number is a valid weight. */
    public static boolean isWeight(long weight) {
        return weight >= 1 && weight <= MAX_WEIGHT;
    }

    /** Returns whether a number is a valid quota. */
    public static boolean isQuota(double perSecond) {
        return perSecond > 0 && perSecond < Double.POSITIVE_INFINITY;
    }
}
