package org.wagtailcart.coordination;

import java.util.List;
import java.util.Optional;
import org.wagtailcart.wire.MessageCodec;

/** Codec and queries for {@link Membership}. */
final class Memberships {
    static final Membership EMPTY = new Membership(0, List.of());
    private static final int TYPE_NUMBER = 110;
    private static final MessageCodec CODEC = new MessageCodec(List.of(RaftMessageTypes.TYPES));

    private Memberships() {}

    static byte[] encode(Membership members) {
        return CODEC.encode(members);
    }

    static Membership decode(byte[] bytes) {
        return (Membership) CODEC.decode(TYPE_NUMBER, bytes);
    }

    static Optional<Member> find(Membership members, MemberKey key) {
        return members.members().stream()
                .filter(member -> MemberKey.of(member).equals(key))
                .findFirst();
    }

    static boolean isVoter(Membership members, MemberKey key) {
        return find(members, key).map(Member::voter).orElse(false);
    }

    static List<MemberKey> voters(Membership members) {
        return members.members().stream()
                .filter(Member::voter)
                .map(MemberKey::of)
                .toList();
    }
}
