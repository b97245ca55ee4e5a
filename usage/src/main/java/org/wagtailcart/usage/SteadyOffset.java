package org.wagtailcart.usage;

import java.util.OptionalLong;

/**
 * Offset of true time to a monotonic clock. It follows small changes of its estimate at once, and a step only after the
 * estimate has kept it for some time. Not thread safe.
 */
final class SteadyOffset {
    /** A larger change is no drift but a step of clocks, or an estimate from other clocks. */
    static final long MAX_CHANGE_MILLIS = 1_000;
    /** Longer than a host takes to correct its clock, so that the offset does not follow a temporary step. */
    static final long STEP_DELAY_MILLIS = 10_000;

    private OptionalLong offsetMillis = OptionalLong.empty();
    private long stepMillis;
    private long stepAllowedAtMillis = Long.MAX_VALUE;

    /** Returns the offset, empty before the first estimate. */
    OptionalLong get() {
        return offsetMillis;
    }

    /** Applies a new estimate. */
    void update(long estimateMillis, long nowMillis) {
        if (offsetMillis.isEmpty() || Math.abs(estimateMillis - offsetMillis.getAsLong()) <= MAX_CHANGE_MILLIS) {
            adopt(estimateMillis);
            return;
        }
        if (stepAllowedAtMillis == Long.MAX_VALUE || Math.abs(estimateMillis - stepMillis) > MAX_CHANGE_MILLIS) {
            stepMillis = estimateMillis;
            stepAllowedAtMillis = nowMillis + STEP_DELAY_MILLIS;
        }
        if (nowMillis >= stepAllowedAtMillis) {
            adopt(estimateMillis);
        }
    }

    private void adopt(long estimateMillis) {
        offsetMillis = OptionalLong.of(estimateMillis);
        stepAllowedAtMillis = Long.MAX_VALUE;
    }
}
