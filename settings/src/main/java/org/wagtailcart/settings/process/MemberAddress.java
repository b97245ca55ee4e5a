package org.wagtailcart.settings.process;

import org.wagtailcart.common.Address;

/**
 * Id and peer address of a control member in the process settings.
 *
 * @param memberId id of the member
 * @param address its peer address
 */
public record MemberAddress(String memberId, Address address) {
    @Override
    public String toString() {
        return memberId + "@" + address;
    }
}
