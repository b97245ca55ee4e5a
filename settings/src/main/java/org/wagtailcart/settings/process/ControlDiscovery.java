package org.wagtailcart.settings.process;

import java.util.List;
import org.wagtailcart.common.Address;

/**
 * How control members find each other when no list of members is given.
 *
 * @param seeds peer addresses at which members may be found, empty when a list is given
 * @param mayBootstrap whether the members at the seeds may found a group; only at the first start of the whole system
 */
public record ControlDiscovery(List<Address> seeds, boolean mayBootstrap) {
    /** Members are listed in the settings. */
    public static final ControlDiscovery NONE = new ControlDiscovery(List.of(), false);

    /** Returns whether members find each other. */
    public boolean enabled() {
        return !seeds.isEmpty();
    }
}
