package org.wagtailcart.usage;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the leader does next.
 *
 * @param close window to close now
 * @param report closed window to report now
 */
public record UsagePlan(OptionalLong close, Optional<ClosedUsageWindow> report) {
    /** Nothing to do. */
    public static final UsagePlan NONE = new UsagePlan(OptionalLong.empty(), Optional.empty());
}
