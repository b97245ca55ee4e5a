package org.wagtailcart.fleet;

import java.util.List;
import java.util.stream.Stream;
import org.wagtailcart.common.Address;

/**
 * Latest registration of a sidecar.
 *
 * @param sidecarId sidecar
 * @param incarnation random number of the registered process
 * @param address peer address of the sidecar
 * @param epoch epoch of the sidecar, a log index
 * @param earlierIncarnations incarnations of the processes it replaced, newest first
 */
record SidecarRegistration(
        String sidecarId, long incarnation, Address address, long epoch, List<Long> earlierIncarnations) {
    // A delayed duplicate of a registration arrives within the timeout of its call, in which no sidecar restarts 16
    // times.
    private static final int RETAINED_INCARNATIONS = 16;

    SidecarRegistration withIncarnation(long newIncarnation, Address newAddress, long newEpoch) {
        List<Long> earlier = Stream.concat(Stream.of(incarnation), earlierIncarnations.stream())
                .limit(RETAINED_INCARNATIONS)
                .toList();
        return new SidecarRegistration(sidecarId, newIncarnation, newAddress, newEpoch, earlier);
    }
}
