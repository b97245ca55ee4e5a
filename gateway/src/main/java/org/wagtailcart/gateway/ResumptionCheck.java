package org.wagtailcart.gateway;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.routes.Route;
import org.wagtailcart.routes.RouteKind;

/** Check of the headers by which a caller resumes a stream. */
final class ResumptionCheck {
    /** A comma separates the values of several header lines. */
    private static final String ID_PATTERN = "[!-~&&[^,]]{0,256}";

    private ResumptionCheck() {}

    /**
     * Checks the headers of a request to a streaming route; on other routes they have no meaning.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} if a header has a value that is not accepted,
     *     or the route allows no resuming
     */
    static void check(Route route, RequestMetadata metadata) {
        String lastEventId = metadata.lastEventId();
        if (route.kind() != RouteKind.STREAMING || lastEventId.isEmpty()) {
            return;
        }
        if (!route.resumable()) {
            throw invalid("Last-Event-Id is set, but streams of route " + route.name() + " cannot be resumed");
        }
        if (metadata.lastEventNumber().isEmpty()) {
            throw invalid("Last-Event-Id is \"" + lastEventId + "\"; one number of up to 18 digits is accepted");
        }
        if (!metadata.resumes().matches(ID_PATTERN)) {
            throw invalid("Resumes is \"" + metadata.resumes()
                    + "\"; one id of up to 256 visible characters without a comma is accepted");
        }
    }

    private static WagtailcartException invalid(String message) {
        return new WagtailcartException(ResultCode.INVALID_ARGUMENT, message);
    }
}
