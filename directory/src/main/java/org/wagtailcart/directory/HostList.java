package org.wagtailcart.directory;

import java.util.List;

/** Client of the host list, which names all upstreams. */
public interface HostList {
    /**
     * Returns the complete list. Blocks; each call to the host list has a short timeout.
     *
     * @throws org.wagtailcart.common.WagtailcartException when the list cannot be read
     */
    List<ListedUpstream> read();
}
