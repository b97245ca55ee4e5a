package org.wagtailcart.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;

/**
 * State of the check of API keys for operators. It contains neither keys nor their digests.
 *
 * @param needed whether the routing table in force has workspaces, so that callers need keys
 * @param strictRevoke whether keys are refused while the table is unconfirmed for too long
 * @param revokeLimitMillis time without a confirmation after which they are
 * @param refused whether they are refused at present
 * @param workspaces workspaces of the table in force
 */
public record KeyDump(
        boolean needed, boolean strictRevoke, long revokeLimitMillis, boolean refused, List<WorkspaceView> workspaces) {
    /**
     * A workspace.
     *
     * @param name its name
     * @param keys number of its keys
     * @param priority its priority, null for that of the route
     */
    public record WorkspaceView(String name, int keys, @Nullable Integer priority) {
        private static WorkspaceView of(Workspace workspace) {
            return new WorkspaceView(workspace.name(), workspace.keyDigests().size(), workspace.priority());
        }
    }

    static KeyDump of(@Nullable WorkspaceAuthenticator authenticator, RevocationPolicy policy, long tableAgeMillis) {
        return new KeyDump(
                authenticator != null,
                policy.strict(),
                policy.limitMillis(),
                authenticator != null && policy.refuses(tableAgeMillis),
                authenticator == null
                        ? List.of()
                        : authenticator.workspaces().stream()
                                .map(WorkspaceView::of)
                                .toList());
    }
}
