package org.wagtailcart.coordination;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.wire.PeerClient;

/**
 * What a member does by itself for its group to exist and to be whole: founding, joining, and the membership changes of a
 * leader. Runs on the member's control thread.
 */
final class GroupUpkeep {
    private static final Logger LOG = System.getLogger(GroupUpkeep.class.getName());
    private static final long FOUNDING_INTERVAL_MILLIS = 300;
    /** Longer than an election, so that a group that elects a leader is not asked. */
    private static final long JOIN_AFTER_SILENCE_MILLIS = 2_500;

    private static final long MEMBERS_INTERVAL_MILLIS = 100;

    /** What the upkeep does through its member. */
    interface Actions {
        /** Runs a task on the control thread. */
        void submit(Runnable task);

        /** Founds the group. */
        void found(List<Member> voters);

        /** Proposes a change; the future fails at once when it is refused. */
        CompletableFuture<Object> change(MemberChange change);
    }

    private final RaftOptions options;
    private final RaftNode node;
    private final Founding founding;
    private final Joining joining;
    private final Actions actions;
    private long nextFoundingMillis;
    private long nextMembersCheckMillis;
    private boolean foundingRuns;

    GroupUpkeep(
            RaftOptions options,
            List<InitialMember> initialMembers,
            RaftNode node,
            PeerClient client,
            Actions actions) {
        long incarnation = node.self().incarnation();
        this.options = options;
        this.node = node;
        this.founding = new Founding(options, initialMembers, incarnation, client);
        this.joining = new Joining(
                new Member(options.memberId(), incarnation, options.address(), false), options.joinContacts(), client);
        this.actions = actions;
    }

    /** Does what is due. */
    void tick(long nowMillis) {
        foundIfDue(nowMillis);
        joinIfDue(nowMillis);
        changeMembersIfDue(nowMillis);
    }

    /** Notes that a member asked to take part. */
    void asked(long nowMillis, Member member) {
        joining.asked(nowMillis, member);
    }

    private void foundIfDue(long nowMillis) {
        if (foundingRuns || nowMillis < nextFoundingMillis || !node.isBlank() || !founding.mayFound()) {
            return;
        }
        foundingRuns = true;
        nextFoundingMillis = nowMillis + FOUNDING_INTERVAL_MILLIS;
        founding.ask(voters -> actions.submit(() -> {
            foundingRuns = false;
            voters.filter(list -> node.isBlank()).ifPresent(actions::found);
        }));
    }

    /** A member that no leader speaks to may have been removed, or its group may not know it yet. */
    private void joinIfDue(long nowMillis) {
        boolean alone = node.isBlank() || node.leaderSilentMillis(nowMillis) > JOIN_AFTER_SILENCE_MILLIS;
        if (alone && !options.joinContacts().isEmpty()) {
            joining.askIfDue(nowMillis, node.log().members());
        }
    }

    private void changeMembersIfDue(long nowMillis) {
        if (options.joinContacts().isEmpty() || nowMillis < nextMembersCheckMillis) {
            return;
        }
        nextMembersCheckMillis = nowMillis + MEMBERS_INTERVAL_MILLIS;
        node.plannedChange(nowMillis, joining.joiners(nowMillis)).ifPresent(this::change);
    }

    private void change(MemberChange change) {
        LOG.log(Level.INFO, LogEvent.of("members-planned", "kind", change.kind(), "member", change.member()));
        CompletableFuture<Object> proposed = actions.change(change);
        if (proposed.isCompletedExceptionally()) {
            CompletableFuture<?> unused = proposed.exceptionally(error -> {
                LOG.log(Level.INFO, LogEvent.of("members-refused", "reason", error.getMessage()));
                return error;
            });
        }
    }
}
