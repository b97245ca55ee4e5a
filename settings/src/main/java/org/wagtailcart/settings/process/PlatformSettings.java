package org.wagtailcart.settings.process;

import java.util.Optional;
import org.wagtailcart.common.Address;

/**
 * Addresses and limits of the users' platform.
 *
 * @param hostListAddress where the list of upstreams is read
 * @param controlListener listener for the operator's calls, empty for processes without the control role
 * @param orderLeaseMillis time that must lie between the orders of two holders
 */
public record PlatformSettings(Address hostListAddress, Optional<Address> controlListener, long orderLeaseMillis) {}
