package org.wagtailcart.coordination;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.wire.PeerClient;

/**
 * Runs the periodic tasks for group membership: bootstrap, join requests, and the automatic membership changes of the
 * leader. Used on the control thread only.
 */
final class MembershipManager {
    private static final Logger LOG = System.getLogger(MembershipManager.class.getName());
    private static final long BOOTSTRAP_INTERVAL_MILLIS = 300;
    /**
     * Time without leader contact before a member sends join requests. Longer than an election, so that a group that is
     * electing a leader receives none.
     */
    private static final long LEADER_CONTACT_TIMEOUT_MILLIS = 2_500;

    private static final long MEMBERSHIP_CHECK_INTERVAL_MILLIS = 100;

    /** Actions of the manager on its member. */
    interface Actions {
        /** Runs a task on the control thread. */
        void submit(Runnable task);

        /** Bootstraps the group with the given voters. */
        void bootstrap(List<Member> voters);

        /** Proposes a change; the returned future has already failed when the change is refused. */
        CompletableFuture<Object> proposeChange(MembershipChange change);
    }

    private final RaftOptions options;
    private final RaftNode node;
    private final GroupBootstrap bootstrap;
    private final GroupJoin groupJoin;
    private final Actions actions;
    private long nextBootstrapMillis;
    private long nextMembershipCheckMillis;
    private boolean bootstrapInProgress;

    MembershipManager(
            RaftOptions options,
            List<InitialMember> initialMembers,
            RaftNode node,
            PeerClient client,
            Actions actions) {
        long incarnation = node.self().incarnation();
        this.options = options;
        this.node = node;
        this.bootstrap = new GroupBootstrap(options, initialMembers, incarnation, client);
        this.groupJoin = new GroupJoin(
                new Member(options.memberId(), incarnation, options.address(), false), options.seedAddresses(), client);
        this.actions = actions;
    }

    /** Runs the tasks that are due. */
    void tick(long nowMillis) {
        bootstrapIfDue(nowMillis);
        joinIfDue(nowMillis);
        changeMembershipIfDue(nowMillis);
    }

    /** Records a join request of a member. */
    void onJoinRequest(long nowMillis, Member member) {
        groupJoin.onJoinRequest(nowMillis, member);
    }

    private void bootstrapIfDue(long nowMillis) {
        if (bootstrapInProgress
                || nowMillis < nextBootstrapMillis
                || !node.isUninitialized()
                || !bootstrap.mayBootstrap()) {
            return;
        }
        bootstrapInProgress = true;
        nextBootstrapMillis = nowMillis + BOOTSTRAP_INTERVAL_MILLIS;
        bootstrap.queryInitialMembers(voters -> actions.submit(() -> {
            bootstrapInProgress = false;
            voters.filter(list -> node.isUninitialized()).ifPresent(actions::bootstrap);
        }));
    }

    /** Sends join requests without leader contact: the member may have been removed, or not yet added. */
    private void joinIfDue(long nowMillis) {
        boolean noLeader =
                node.isUninitialized() || node.millisSinceLeaderContact(nowMillis) > LEADER_CONTACT_TIMEOUT_MILLIS;
        if (noLeader && !options.seedAddresses().isEmpty()) {
            groupJoin.sendRequestsIfDue(nowMillis, node.log().membership());
        }
    }

    private void changeMembershipIfDue(long nowMillis) {
        if (options.seedAddresses().isEmpty() || nowMillis < nextMembershipCheckMillis) {
            return;
        }
        nextMembershipCheckMillis = nowMillis + MEMBERSHIP_CHECK_INTERVAL_MILLIS;
        node.plannedChange(nowMillis, groupJoin.joiners(nowMillis), options.toleratedLosses())
                .ifPresent(this::proposeChange);
    }

    private void proposeChange(MembershipChange change) {
        LOG.log(Level.INFO, LogEvent.of("members-planned", "kind", change.kind(), "member", change.member()));
        CompletableFuture<Object> proposed = actions.proposeChange(change);
        if (proposed.isCompletedExceptionally()) {
            CompletableFuture<?> unused = proposed.exceptionally(error -> {
                LOG.log(Level.INFO, LogEvent.of("members-refused", "reason", error.getMessage()));
                return error;
            });
        }
    }
}
