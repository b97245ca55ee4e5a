package org.wagtailcart.settings.process;

import java.util.List;
import org.wagtailcart.common.Address;

/**
 * Discovery of control members by seed addresses, for settings without a list of members.
 *
 * @param seeds peer addresses at which members may listen, empty when the members are listed
 * @param mayBootstrap whether the members at the seeds may bootstrap a group; set only for the first start of the
 *     whole system
 * @param toleratedLosses members that may lose their disks at the same time
 */
public record ControlDiscovery(List<Address> seeds, boolean mayBootstrap, int toleratedLosses) {
    /** Losses that a group of five voters tolerates, the usual size. */
    public static final int DEFAULT_TOLERATED_LOSSES = 2;

    /** Discovery is disabled; the settings list the members. */
    public static final ControlDiscovery NONE = new ControlDiscovery(List.of(), false, DEFAULT_TOLERATED_LOSSES);

    /** Returns whether members are discovered by seeds. */
    public boolean enabled() {
        return !seeds.isEmpty();
    }
}
