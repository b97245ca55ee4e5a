package org.wagtailcart.settings.process;

import java.util.List;
import java.util.Optional;
import org.wagtailcart.common.Address;

/**
 * Addresses and limits of the users' platform.
 *
 * @param hostListAddress address that serves the list of upstreams
 * @param controlListener listener for calls of the platform's operator, empty for processes without the control
 *     role
 * @param orderLeaseMillis shortest time between orders of two successive lease holders
 * @param duties what the platform asks of this system, in its own words
 * @param usageReports reports of usage, which have no effect unless the platform asks for them
 */
public record PlatformSettings(
        Address hostListAddress,
        Optional<Address> controlListener,
        long orderLeaseMillis,
        List<String> duties,
        UsageReportSettings usageReports) {}
