package org.wagtailcart.coordination;

import java.util.List;

/**
 * Membership of the control group.
 *
 * @param index log index of the entry that set it
 * @param members all voters and learners
 */
public record Membership(long index, List<Member> members) {}
