package org.wagtailcart.coordination;

import org.wagtailcart.common.ResultCode;

/** News of the state machine for the callers of the driver. */
sealed interface NodeEvent {
    /** A proposal got an index and term; it is successful when the entry applied at the index has the term. */
    record Appended(long proposalId, long index, long term) implements NodeEvent {}

    /** A quorum confirmed the leader after the read was asked for; it may run once the index is applied. */
    record ReadConfirmed(long readId, long index) implements NodeEvent {}

    /** Reads, proposals and changes that still wait for this leader have failed. */
    record LeadershipEnded(ResultCode code, String reason) implements NodeEvent {}

    /** The member has another role, term or leader. */
    record RoleChanged(RaftStatus.Role role, long term) implements NodeEvent {}

    /** The transfer of leadership was given up. */
    record TransferFailed(String reason) implements NodeEvent {}
}
