package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.wagtailcart.common.EventKind;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;

/** Creates the call for a request. */
public final class Calls {
    private static final Logger LOG = System.getLogger(Calls.class.getName());

    private Calls() {}

    /** Returns the call that fits the kind of the request's route. */
    public static Runnable of(GatewayContext context, InboundRequest request, CallerLink caller) {
        return switch (request.route().kind()) {
            case SAFE, UNSAFE -> new PlainCall(context, request, caller);
            case STREAMING -> new StreamCall(context, request, caller);
        };
    }

    /** Notes a request that was refused before it had a route. */
    public static void recordRefused(GatewayContext context, String path, WagtailcartException error) {
        context.counters().ended(error.code(), 0, -1);
        EventKind.REQUEST_ENDED.log(
                LOG,
                Level.INFO,
                "",
                path,
                error.code().number(),
                error.code().httpStatus(),
                SettingNames.of(error.runState()),
                0,
                -1,
                0,
                context.watch().routes().table().version(),
                context.watch().ageMillis(),
                context.book().listAgeMillis(),
                error.getMessage());
    }
}
