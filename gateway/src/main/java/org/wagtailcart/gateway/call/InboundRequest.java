package org.wagtailcart.gateway.call;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.policy.quarantine.RequestKey;
import org.wagtailcart.routes.Route;

/**
 * A fully received request of a caller with its route and deadlines.
 *
 * @param metadata metadata parsed from its headers
 * @param method HTTP method
 * @param target path and query as sent by the caller
 * @param headers end-to-end header lines, names and values alternating
 * @param body complete body
 * @param route matched route
 * @param workspace workspace of the caller, empty for none
 * @param priority scheduling priority, 0 is the highest
 * @param service service selected by the weights of the route
 * @param arrivedMillis monotonic time of its arrival
 * @param callerDeadlineMillis monotonic time of the caller's deadline
 * @param routeDeadlineMillis monotonic time at which the route's timeout expires
 */
public record InboundRequest(
        RequestMetadata metadata,
        String method,
        String target,
        List<String> headers,
        byte[] body,
        Route route,
        String workspace,
        int priority,
        String service,
        long arrivedMillis,
        long callerDeadlineMillis,
        long routeDeadlineMillis) {
    /**
     * Returns the shared segments of the prompt and then the key of the request, by which a crash of an upstream is
     * attributed. A request with a prompt is known by the prompt's own segment, another one by its target and body.
     */
    public List<String> suspectIds() {
        return Stream.concat(metadata.sharedSegmentIds().stream(), Stream.of(RequestKey.of(identity())))
                .toList();
    }

    private String identity() {
        return metadata.ownSegmentId().orElseGet(() -> {
            CRC32 crc = new CRC32();
            CRC32C crc32c = new CRC32C();
            Stream.of((method + " " + target).getBytes(StandardCharsets.UTF_8), body)
                    .forEach(part -> {
                        crc.update(part);
                        crc32c.update(part);
                    });
            return Long.toHexString(crc.getValue() << Integer.SIZE | crc32c.getValue());
        });
    }

    /** Returns the monotonic time by which the response must be complete, the earlier of both deadlines. */
    public long deadlineMillis() {
        return Math.min(callerDeadlineMillis, routeDeadlineMillis);
    }
}
