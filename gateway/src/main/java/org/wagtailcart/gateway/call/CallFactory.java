package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;

/** Factory that creates the call for a request by the kind of its route. */
public final class CallFactory {
    private static final Logger LOG = System.getLogger(CallFactory.class.getName());

    private static final long NO_CONNECTION = -1;

    private CallFactory() {}

    /** Returns a plain or a streaming call, depending on the kind of the request's route. */
    public static Runnable of(GatewayContext context, InboundRequest request, CallerResponseWriter caller) {
        return switch (request.route().kind()) {
            case SAFE, UNSAFE -> new PlainCall(context, request, caller);
            case STREAMING -> new StreamCall(context, request, caller);
        };
    }

    /** Records and logs a request that was refused before its call was created. */
    public static void recordRefused(
            GatewayContext context, String requestId, String path, WagtailcartException error) {
        context.metrics().recordEnded(error.code(), 0, -1);
        LogEventKind.REQUEST_ENDED.log(
                LOG,
                Level.INFO,
                requestId,
                path,
                "",
                error.code().number(),
                error.code().httpStatus(),
                SettingNames.of(error.runState()),
                0,
                -1,
                0,
                context.routeWatcher().routes().table().version(),
                context.routeWatcher().ageMillis(),
                context.registry().listAgeMillis(),
                NO_CONNECTION,
                0,
                error.getMessage());
    }
}
