package org.wagtailcart.coordination;

/**
 * Timeouts and limits of the Raft log.
 *
 * @param heartbeatMillis time between heartbeats of a leader
 * @param electionMinMillis shortest election timeout, the time without leader contact after which a voter requests
 *     pre-votes; also the time after which a leader without a quorum steps down
 * @param electionMaxMillis longest election timeout; the timeout is random and drawn again for each election
 * @param maxAppendBytes limit on the bytes of entries in one append request; a single larger entry is sent alone
 * @param maxInFlight limit on append requests in flight to one member
 * @param snapshotChunkBytes limit on the bytes of one snapshot chunk
 * @param snapshotEntries entries after which a snapshot is taken
 * @param snapshotLogBytes bytes of entries after which a snapshot is taken
 * @param retainedEntries limit on entries before a snapshot that are retained for members that lag slightly
 * @param maxPendingProposals limit on proposals that wait for a quorum
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
    /** Returns the default values. The byte limits keep every message below the frame limit of 4 MiB. */
    public static RaftTuning standard() {
        return new RaftTuning(150, 1_000, 2_000, 1 << 20, 16, 1 << 20, 10_000, 16 << 20, 1_000, 20_000);
    }

    /** Returns values for hosts a few milliseconds apart, where a failed leader is replaced within a second. */
    public static RaftTuning lowLatency() {
        return new RaftTuning(100, 500, 1_000, 1 << 20, 16, 1 << 20, 10_000, 16 << 20, 1_000, 20_000);
    }
}
