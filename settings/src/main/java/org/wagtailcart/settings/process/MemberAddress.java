package org.wagtailcart.settings.process;

import org.wagtailcart.common.Address;

/**
 * A control member as process settings name it.
 *
 * @param memberId name of the member
 * @param address its peer address
 */
public record MemberAddress(String memberId, Address address) {
    @Override
    public String toString() {
        return memberId + "@" + address;
    }
}
