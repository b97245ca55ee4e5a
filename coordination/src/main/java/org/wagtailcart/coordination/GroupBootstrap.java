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
 * Founds a group. The initial member with the smallest id asks all others for their incarnations and founds the group
 * only when every one of them answers that it is blank. A founder that lost its disk therefore never founds a second
 * group while any initial member remembers the first. A blank member without a list of initial members, because its disk
 * was lost before the group existed, never founds one; then the next larger id may.
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

    /** Returns whether this member may found the group, if the answers of the others allow it. */
    boolean mayBootstrap() {
        return initialMembers.stream().map(InitialMember::memberId).anyMatch(options.memberId()::equals);
    }

    /** Asks all other initial members; passes the founding voters on, or empty when the group must not be founded. */
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
            return Optional.of("no member " + expected.memberId() + " answers at " + expected.address());
        }
        if (!found.get().uninitialized()) {
            return Optional.of("member " + expected.memberId()
                    + " belongs to an existing group; add this member to it as a learner");
        }
        if (found.get().initialMembers().isEmpty()) {
            return Optional.empty();
        }
        if (expected.memberId().compareTo(self.memberId()) < 0) {
            return Optional.of("member " + expected.memberId() + " has the smaller id and founds the group");
        }
        return found.get().initialMembers().equals(initialMembers)
                ? Optional.empty()
                : Optional.of("member " + expected.memberId() + " has another list of initial members: "
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
