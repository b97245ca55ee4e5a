package org.wagtailcart.fleet;

import org.wagtailcart.common.Address;

/**
 * Command: registers a started sidecar and assigns it an epoch.
 *
 * @param sidecarId name from its settings
 * @param incarnation random number of the process; a resent registration gets the same epoch
 * @param address its fixed peer address; must be the one in the settings tree
 */
public record RegisterSidecar(String sidecarId, long incarnation, Address address) {}
