package org.wagtailcart.coordination;

import org.wagtailcart.common.Address;

/**
 * Member named in the settings of every initial member.
 *
 * @param memberId name
 * @param address peer address
 */
public record InitialMember(String memberId, Address address) {}
