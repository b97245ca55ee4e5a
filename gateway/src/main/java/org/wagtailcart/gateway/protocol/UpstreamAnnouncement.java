package org.wagtailcart.gateway.protocol;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an upstream says about itself in a response.
 *
 * @param leaving whether it is about to stop and wants no new requests
 * @param retryAfter value of the header with which it refuses further requests for a time, empty if it has none
 */
public record UpstreamAnnouncement(boolean leaving, Optional<String> retryAfter) {
    /** Announcement of an upstream that accepts requests. */
    public static final UpstreamAnnouncement NONE = new UpstreamAnnouncement(false, Optional.empty());

    /** Limit on the time for which an upstream is believed to refuse requests, so that an odd value does no harm. */
    public static final long MAX_REFUSAL_MILLIS = 300_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the time for which the upstream refuses requests, empty if it does not or the value is unreadable. */
    public OptionalLong refusalMillis() {
        return retryAfter.filter(text -> text.matches("[0-9]{1,18}(\\.[0-9]{1,18})?")).stream()
                .mapToLong(text ->
                        Math.min(MAX_REFUSAL_MILLIS, (long) Math.ceil(Double.parseDouble(text) * MILLIS_PER_SECOND)))
                .findFirst();
    }
}
