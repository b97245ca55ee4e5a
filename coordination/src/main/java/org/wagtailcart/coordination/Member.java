package org.wagtailcart.coordination;

import org.wagtailcart.common.Address;

/**
 * A member of the control group.
 *
 * @param memberId name from the settings
 * @param incarnation random number of its data folder; a member with an empty folder has another one
 * @param address peer address
 * @param voter whether it counts for quorums; a learner does not
 */
public record Member(String memberId, long incarnation, Address address, boolean voter) {}
