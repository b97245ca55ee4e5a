package org.wagtailcart.upstream;

import java.net.Proxy;
import java.util.List;
import okhttp3.ConnectionSpec;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;

/**
 * Factory for HTTP clients inside the system: no proxy, no TLS, no automatic retries or redirects, a bound on the
 * bytes of a response besides its body, and a check of its header fields.
 */
public final class InternalHttpClients {
    private InternalHttpClients() {}

    /**
     * Returns a builder to which the caller adds timeouts and a connection pool.
     *
     * @param networkInterceptors further interceptors, in order; those that follow here see a response first, since one
     *     that changes its header fields would hide what is wrong with them
     */
    public static OkHttpClient.Builder builder(Interceptor... networkInterceptors) {
        OkHttpClient.Builder builder = new OkHttpClient.Builder();
        builder.networkInterceptors().addAll(List.of(networkInterceptors));
        return builder
                // Otherwise OkHttp loads the TLS certificates when the process starts.
                .connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY)
                .socketFactory(ResponseBounds.socketFactory())
                .addNetworkInterceptor(ResponseHeadValidator::intercept)
                .addNetworkInterceptor(ResponseBounds::intercept);
    }
}
