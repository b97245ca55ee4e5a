package org.wagtailcart.settings.process;

import java.util.Optional;
import org.wagtailcart.common.Address;

/**
 * Addresses and limits of the users' platform.
 *
 * @param hostListAddress address that serves the list of upstreams
 * @param controlListener listener for calls of the platform's operator, empty for processes without the control
 *     role
 * @param orderLeaseMillis shortest time between orders of two successive lease holders
 * @param usageReports reports of usage, empty if the platform asks for none
 * @param scaling whether the platform accepts orders for the number of replicas
 */
public record PlatformSettings(
        Address hostListAddress,
        Optional<Address> controlListener,
        long orderLeaseMillis,
        Optional<UsageReportSettings> usageReports,
        boolean scaling) {}
