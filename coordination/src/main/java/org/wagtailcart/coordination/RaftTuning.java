package org.wagtailcart.coordination;

/**
 * Times and limits of the log.
 *
 * @param heartbeatMillis time between heartbeats of a leader
 * @param electionMinMillis shortest time without a leader after which a voter asks for pre-votes; also the time after
 *     which a leader without a quorum steps down
 * @param electionMaxMillis longest such time; the time is drawn anew for each election
 * @param maxAppendBytes bytes of entries in one append request; a single larger entry is sent alone
 * @param maxInFlight append requests sent to a member and not yet answered
 * @param snapshotChunkBytes bytes of one part of a snapshot
 * @param snapshotEntries entries after which a snapshot is taken
 * @param snapshotLogBytes bytes of entries after which a snapshot is taken
 * @param retainedEntries entries kept in front of a snapshot for members that lag a little
 * @param maxPendingProposals proposals that may wait for a quorum
 */
public record RaftTuning(
        long heartbeatMillis,
        long electionMinMillis,
        long electionMaxMillis,
        int maxAppendBytes,
        int maxInFlight,
        int snapshotChunkBytes,
        int snapshotEntries,
        long snapshotLogBytes,
        int retainedEntries,
        int maxPendingProposals) {
    /** Returns the values of production. The byte limits keep every message below the frame limit of 4 MiB. */
    public static RaftTuning standard() {
        return new RaftTuning(150, 1_000, 2_000, 1 << 20, 16, 1 << 20, 10_000, 16 << 20, 1_000, 20_000);
    }

    /** Returns values for hosts a few milliseconds apart, where a failed leader is replaced within a second. */
    public static RaftTuning lowLatency() {
        return new RaftTuning(100, 500, 1_000, 1 << 20, 16, 1 << 20, 10_000, 16 << 20, 1_000, 20_000);
    }
}
