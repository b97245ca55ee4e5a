package org.wagtailcart.coordination;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.wire.PeerClient;

/**
 * Bootstraps a group. The initial member with the smallest id requests the identities of all others and bootstraps the
 * group only if every one of them replies that it is uninitialized. An initial member that lost its disk therefore does
 * not bootstrap a second group as long as any other initial member has state of the first. An uninitialized member
 * without a list of initial members, because its disk was lost before the group existed, never bootstraps a group; the
 * member with the next larger id may then do so.
 */
final class GroupBootstrap {
    private static final Logger LOG = System.getLogger(GroupBootstrap.class.getName());
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private final RaftOptions options;
    private final List<InitialMember> initialMembers;
    private final Member self;
    private final PeerClient client;
    private boolean refusalLogged;

    GroupBootstrap(RaftOptions options, List<InitialMember> initialMembers, long incarnation, PeerClient client) {
        this.options = options;
        this.initialMembers = initialMembers;
        this.self = new Member(options.memberId(), incarnation, options.address(), true);
        this.client = client;
    }

    /** Returns whether this member is an initial member and may bootstrap the group if the replies allow it. */
    boolean mayBootstrap() {
        return initialMembers.stream().map(InitialMember::memberId).anyMatch(options.memberId()::equals);
    }

    /**
     * Requests the identities of all other initial members. Passes the voters of the new group to the callback, or
     * empty when this member must not bootstrap it now.
     */
    void queryInitialMembers(Consumer<Optional<List<Member>>> callback) {
        List<CompletableFuture<RaftMessageTypes.IdentityReply>> replies = initialMembers.stream()
                .filter(member -> !member.memberId().equals(options.memberId()))
                .map(member -> client.call(
                        member.address(),
                        new RaftMessageTypes.IdentityRequest(options.memberId()),
                        RaftMessageTypes.IdentityReply.class,
                        CALL_TIMEOUT_MILLIS))
                .toList();
        CompletableFuture<Void> unused = CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .whenComplete((all, error) -> callback.accept(
                        error != null
                                ? Optional.empty()
                                : voters(replies.stream()
                                        .map(CompletableFuture::join)
                                        .toList())));
    }

    private Optional<List<Member>> voters(List<RaftMessageTypes.IdentityReply> replies) {
        Optional<String> refusal = initialMembers.stream()
                .filter(member -> !member.memberId().equals(options.memberId()))
                .flatMap(member -> refusal(member, replies).stream())
                .findFirst();
        refusal.ifPresent(this::logRefusal);
        if (refusal.isPresent()) {
            return Optional.empty();
        }
        List<Member> others =
                replies.stream().map(RaftMessageTypes.IdentityReply::member).toList();
        return Optional.of(Stream.concat(Stream.of(self), others.stream())
                .map(member -> new Member(member.memberId(), member.incarnation(), member.address(), true))
                .sorted(Comparator.comparing(Member::memberId))
                .toList());
    }

    private Optional<String> refusal(InitialMember expected, List<RaftMessageTypes.IdentityReply> replies) {
        Optional<RaftMessageTypes.IdentityReply> found = replies.stream()
                .filter(reply -> reply.member().memberId().equals(expected.memberId())
                        && reply.member().address().equals(expected.address()))
                .findFirst();
        if (found.isEmpty()) {
            return Optional.of("no reply from member " + expected.memberId() + " at " + expected.address());
        }
        if (!found.get().uninitialized()) {
            return Optional.of("member " + expected.memberId()
                    + " belongs to an existing group; add this member to it as a learner");
        }
        if (found.get().initialMembers().isEmpty()) {
            return Optional.empty();
        }
        if (expected.memberId().compareTo(self.memberId()) < 0) {
            return Optional.of("member " + expected.memberId() + " has a smaller id and bootstraps the group");
        }
        return found.get().initialMembers().equals(initialMembers)
                ? Optional.empty()
                : Optional.of("member " + expected.memberId() + " has a different list of initial members: "
                        + found.get().initialMembers());
    }

    private void logRefusal(String reason) {
        if (!refusalLogged) {
            refusalLogged = true;
            LOG.log(
                    Level.WARNING,
                    LogEvent.of(
                            "group-not-founded",
                            "member",
                            self.memberId(),
                            "incarnation",
                            self.incarnation(),
                            "reason",
                            reason));
        }
    }
}
