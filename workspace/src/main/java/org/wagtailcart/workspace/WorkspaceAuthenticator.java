package org.wagtailcart.workspace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Index of one table that finds the workspace of an API key by its digest. Immutable. */
public final class WorkspaceAuthenticator {
    private final byte[] salt;
    private final List<Workspace> workspaces;
    private final Map<String, Workspace> workspacesByDigest;

    /** Builds the index of a table. */
    public WorkspaceAuthenticator(WorkspaceTable table) {
        this.salt = table.salt().clone();
        this.workspaces = table.workspaces();
        this.workspacesByDigest = new HashMap<>();
        workspaces.forEach(
                workspace -> workspace.keyDigests().forEach(digest -> workspacesByDigest.put(digest, workspace)));
    }

    /** Returns the workspaces of the table. */
    public List<Workspace> workspaces() {
        return workspaces;
    }

    /**
     * Decides whether a request with a key is served.
     *
     * @param confirmed whether a quorum confirmed the table recently, so that a key that it lacks is not valid
     * @param tableAgeMillis time since a quorum confirmed the table
     */
    public KeyDecision decide(PresentedKey key, boolean confirmed, long tableAgeMillis, RevocationPolicy revocation) {
        if (revocation.refuses(tableAgeMillis)) {
            return KeyDecision.refused(KeyVerdict.OUTDATED);
        }
        return find(key)
                .map(KeyDecision::accepted)
                .orElseGet(() -> KeyDecision.refused(confirmed ? faultOf(key) : KeyVerdict.UNCONFIRMED));
    }

    /** Returns the workspace of a key, empty if the table has no such key. */
    public Optional<Workspace> find(PresentedKey key) {
        return key.value().map(value -> workspacesByDigest.get(KeyDigest.of(salt, value)));
    }

    private static KeyVerdict faultOf(PresentedKey key) {
        return key.fault() == KeyVerdict.ACCEPTED ? KeyVerdict.UNKNOWN : key.fault();
    }
}
