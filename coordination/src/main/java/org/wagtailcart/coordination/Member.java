package org.wagtailcart.coordination;

import org.wagtailcart.common.Address;

/**
 * A member of the control group.
 *
 * @param memberId id from the settings
 * @param incarnation random number of the data folder; a start with an empty folder draws a new one
 * @param address peer address
 * @param voter whether the member is a voter, which counts for quorums, or a learner, which does not
 */
public record Member(String memberId, long incarnation, Address address, boolean voter) {}
