package org.wagtailcart.gateway.send;

import java.io.IOException;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.upstream.SendGuard;

/**
 * Network interceptor that applies the {@link ResponseCheck} of a request and closes the connection of a rejected
 * response. Later would be too late: a connection whose response has no body is back in the pool by then, and all that
 * follows on it belongs to earlier requests.
 */
final class ResponseCheckInterceptor implements Interceptor {
    /** Thrown for a response that does not belong to the request. */
    static final class RejectedException extends IOException {
        private static final long serialVersionUID = 1L;

        private final WagtailcartException rejection;

        RejectedException(WagtailcartException rejection) {
            super(rejection);
            this.rejection = rejection;
        }

        WagtailcartException rejection() {
            return rejection;
        }
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        ResponseCheck check = chain.request().tag(ResponseCheck.class);
        ConnectionUse use = chain.request().tag(ConnectionUse.class);
        SendGuard guard = chain.request().tag(SendGuard.class);
        Connection connection = chain.connection();
        if (check == null || use == null || guard == null || connection == null) {
            return response;
        }
        try {
            check.check(response.code(), UpstreamResponse.headerLines(response, guard.retryAfter()), use);
            return response;
        } catch (WagtailcartException e) {
            // OkHttp keeps a connection whose response is complete, as one without a body is, also after an exception.
            connection.socket().close();
            throw new RejectedException(e);
        }
    }
}
