package org.wagtailcart.coordination;

import org.wagtailcart.common.Address;

/**
 * Member of the group at its bootstrap; the settings of every initial member list all of them.
 *
 * @param memberId name
 * @param address peer address
 */
public record InitialMember(String memberId, Address address) {}
