package org.wagtailcart.workspace;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * All workspaces of a routing table. It holds digests of the API keys and no key.
 *
 * @param salt salt of the key digests
 * @param workspaces workspaces, in no particular order
 */
public record WorkspaceTable(byte[] salt, List<Workspace> workspaces) {
    /** Returns the weights other than 1. Entries of one name are one workspace, with the largest weight. */
    public Map<String, Integer> weightsByName() {
        return byName(
                workspace -> Objects.equals(workspace.weight(), 1) ? null : workspace.weight(),
                BinaryOperator.maxBy(Integer::compare));
    }

    /** Returns the quotas that the table names. Entries of one name are one workspace, with the smallest quota. */
    public Map<String, Double> quotasByName() {
        return byName(Workspace::quotaPerSecond, BinaryOperator.minBy(Double::compare));
    }

    private <T> Map<String, T> byName(Function<Workspace, @Nullable T> field, BinaryOperator<T> merge) {
        return workspaces.stream()
                .filter(workspace -> field.apply(workspace) != null)
                .collect(Collectors.toUnmodifiableMap(
                        Workspace::name, workspace -> Objects.requireNonNull(field.apply(workspace)), merge));
    }
}
