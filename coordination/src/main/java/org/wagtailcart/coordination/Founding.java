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
 * group while any initial member remembers the first.
 */
final class Founding {
    private static final Logger LOG = System.getLogger(Founding.class.getName());
    private static final long CALL_LIMIT_MILLIS = 2_000;

    private final RaftOptions options;
    private final Member self;
    private final PeerClient client;
    private boolean refusalLogged;

    Founding(RaftOptions options, long incarnation, PeerClient client) {
        this.options = options;
        this.self = new Member(options.memberId(), incarnation, options.address(), true);
        this.client = client;
    }

    /** Returns whether this member founds the group. */
    boolean isFounder() {
        return options.initialMembers().stream()
                .map(InitialMember::memberId)
                .min(Comparator.naturalOrder())
                .map(options.memberId()::equals)
                .orElse(false);
    }

    /** Asks all other initial members; passes the founding voters on, or empty when the group must not be founded. */
    void ask(Consumer<Optional<List<Member>>> whenAnswered) {
        List<CompletableFuture<RaftMessages.IdentityReply>> replies = options.initialMembers().stream()
                .filter(member -> !member.memberId().equals(options.memberId()))
                .map(member -> client.call(
                        member.address(),
                        new RaftMessages.IdentityRequest(options.memberId()),
                        RaftMessages.IdentityReply.class,
                        CALL_LIMIT_MILLIS))
                .toList();
        CompletableFuture<Void> unused = CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .whenComplete((all, error) -> whenAnswered.accept(
                        error != null
                                ? Optional.empty()
                                : voters(replies.stream()
                                        .map(CompletableFuture::join)
                                        .toList())));
    }

    private Optional<List<Member>> voters(List<RaftMessages.IdentityReply> replies) {
        Optional<String> refusal = options.initialMembers().stream()
                .filter(member -> !member.memberId().equals(options.memberId()))
                .flatMap(member -> refusal(member, replies).stream())
                .findFirst();
        refusal.ifPresent(this::logRefusal);
        if (refusal.isPresent()) {
            return Optional.empty();
        }
        List<Member> others =
                replies.stream().map(RaftMessages.IdentityReply::member).toList();
        return Optional.of(Stream.concat(Stream.of(self), others.stream())
                .map(member -> new Member(member.memberId(), member.incarnation(), member.address(), true))
                .sorted(Comparator.comparing(Member::memberId))
                .toList());
    }

    private Optional<String> refusal(InitialMember expected, List<RaftMessages.IdentityReply> replies) {
        Optional<RaftMessages.IdentityReply> found = replies.stream()
                .filter(reply -> reply.member().memberId().equals(expected.memberId())
                        && reply.member().address().equals(expected.address()))
                .findFirst();
        if (found.isEmpty()) {
            return Optional.of("no member " + expected.memberId() + " answers at " + expected.address());
        }
        if (!found.get().blank()) {
            return Optional.of("member " + expected.memberId()
                    + " belongs to an existing group; add this member to it as a learner");
        }
        return found.get().initialMembers().equals(options.initialMembers())
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
