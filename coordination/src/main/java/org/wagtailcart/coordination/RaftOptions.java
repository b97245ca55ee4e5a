package org.wagtailcart.coordination;

import java.nio.file.Path;
import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Options of a member of the replicated log.
 *
 * @param memberId name of this member
 * @param address address at which the other members reach it
 * @param dataFolder folder that only this member uses
 * @param initialMembers members that bootstrap the group, the same list on each of them; without effect once the group
 *     exists
 * @param seedAddresses addresses to which join requests are sent at first; empty when only operators add members
 * @param toleratedLosses members that may lose their disks at the same time; bounds the automatic removal of voters
 * @param tuning timeouts and limits
 */
public record RaftOptions(
        String memberId,
        Address address,
        Path dataFolder,
        List<InitialMember> initialMembers,
        List<Address> seedAddresses,
        int toleratedLosses,
        RaftTuning tuning) {
    /** Creates options of a member that operators add to its group. */
    public RaftOptions(
            String memberId, Address address, Path dataFolder, List<InitialMember> initialMembers, RaftTuning tuning) {
        this(memberId, address, dataFolder, initialMembers, List.of(), 0, tuning);
    }

    /** Validates that the initial members have distinct ids. */
    public RaftOptions {
        long ids =
                initialMembers.stream().map(InitialMember::memberId).distinct().count();
        if (ids != initialMembers.size()) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "initial members " + initialMembers + " contain a duplicate member id");
        }
    }
}
