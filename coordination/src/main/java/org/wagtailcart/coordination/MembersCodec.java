package org.wagtailcart.coordination;

import java.util.List;
import java.util.Optional;
import org.wagtailcart.wire.MessageCodec;

/** Membership in encoded form and questions about it. */
final class MembersCodec {
    static final Members NONE = new Members(0, List.of());
    private static final int TYPE_NUMBER = 110;
    private static final MessageCodec CODEC = new MessageCodec(List.of(RaftMessages.TYPES));

    private MembersCodec() {}

    static byte[] encode(Members members) {
        return CODEC.encode(members);
    }

    static Members decode(byte[] bytes) {
        return (Members) CODEC.decode(TYPE_NUMBER, bytes);
    }

    static Optional<Member> find(Members members, MemberKey key) {
        return members.members().stream()
                .filter(member -> MemberKey.of(member).equals(key))
                .findFirst();
    }

    static boolean isVoter(Members members, MemberKey key) {
        return find(members, key).map(Member::voter).orElse(false);
    }

    static List<MemberKey> voters(Members members) {
        return members.members().stream()
                .filter(Member::voter)
                .map(MemberKey::of)
                .toList();
    }
}
