package org.wagtailcart.coordination;

import org.wagtailcart.common.ResultCode;

/** Event that a {@link RaftNode} reports to its driver, such as a role change or the end of its leadership. */
sealed interface NodeEvent {
    /** A proposal was appended; it has succeeded when the entry applied at the index has this term. */
    record Appended(long proposalId, long index, long term) implements NodeEvent {}

    /** A quorum confirmed the leader after the read was requested; the read may run once the index is applied. */
    record ReadConfirmed(long readId, long index) implements NodeEvent {}

    /** This member is no longer the leader; its pending reads, proposals and membership changes have failed. */
    record LeadershipEnded(ResultCode code, String reason) implements NodeEvent {}

    /** The role, term or leader of the member has changed. */
    record RoleChanged(RaftStatus.Role role, long term) implements NodeEvent {}

    /** The leadership transfer was abandoned. */
    record TransferFailed(String reason) implements NodeEvent {}
}
