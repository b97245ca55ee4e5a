package org.wagtailcart.upstream;

import java.net.Proxy;
import java.util.List;
import okhttp3.ConnectionSpec;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;

/** Common ground of the HTTP clients inside the system: no proxy, no TLS, nothing repeated or followed by itself. */
public final class InternalHttpClients {
    private InternalHttpClients() {}

    /** Returns a builder without limits and connections. */
    public static OkHttpClient.Builder builder() {
        return new OkHttpClient.Builder()
                // Without it a process reads certificates at its start.
                .connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY);
    }
}
