package org.wagtailcart.directory;

import java.util.List;

/** Reads the list of upstreams. */
public interface HostList {
    /**
     * Reads the whole list; blocks within a short limit.
     *
     * @throws org.wagtailcart.common.WagtailcartException when the list cannot be read
     */
    List<ListedUpstream> read();
}
