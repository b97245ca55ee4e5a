package org.wagtailcart.sidecar;

import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/**
 * Requests that an upstream may run at once.
 *
 * @param hard with a valid power grant
 * @param soft without one
 * @param granted whether a grant is valid
 */
record Limits(int hard, int soft, boolean granted) {
    private static final String SOFT_MAX_IN_FLIGHT = "soft-max-in-flight";
    private static final String DRAIN_LIMIT = "drain-limit-millis";

    int current() {
        return granted ? hard : Math.min(hard, soft);
    }

    /** Returns the limits of an upstream now; a plain service needs no grant. */
    static Limits of(UpstreamView upstream, ControlView view, MillisClock clock) {
        int hard = Math.max(1, upstream.maxInFlight());
        int soft = (int) number(view.settings(), upstream.upstreamId(), SOFT_MAX_IN_FLIGHT, hard);
        boolean granted = upstream.kind() == UpstreamKind.SERVICE
                || view.powerGrantDeadlineMillis(upstream.upstreamId()) > clock.nowMillis();
        return new Limits(hard, Math.max(1, soft), granted);
    }

    /** Returns the time that running streams get before they are moved off a leaving engine or one with an order. */
    static long drainLimitMillis(SettingsTree settings, String upstreamId, long otherwise) {
        return number(settings, upstreamId, DRAIN_LIMIT, otherwise);
    }

    private static long number(SettingsTree settings, String upstreamId, String key, long otherwise) {
        return settings.branches().stream()
                .filter(branch -> branch.endsWith("/" + upstreamId))
                .filter(branch -> settings.own(branch).containsKey("address"))
                .findFirst()
                .flatMap(branch -> settings.effective(branch, key))
                .map(Long::parseLong)
                .orElse(otherwise);
    }
}
