package org.wagtailcart.coordination;

import org.jspecify.annotations.Nullable;

/**
 * State that must be durable before a message that depends on it leaves the member.
 *
 * @param term highest term seen
 * @param vote candidate that got this member's vote in the term, null for none
 */
record HardState(long term, @Nullable MemberKey vote) {}
