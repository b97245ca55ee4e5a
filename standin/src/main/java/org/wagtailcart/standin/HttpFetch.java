package org.wagtailcart.standin;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.wagtailcart.common.Address;

/** Requests of a stand-in to other stand-ins. */
final class HttpFetch {
    private static final OkHttpClient CLIENT =
            new OkHttpClient.Builder().readTimeout(60, TimeUnit.SECONDS).build();

    private HttpFetch() {}

    /**
     * Gets a body.
     *
     * @throws IOException when the request fails or is refused
     */
    static byte[] get(Address from, String path) throws IOException {
        Request request = new Request.Builder().url("http://" + from + path).build();
        try (Response response = CLIENT.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException(from + path + " answered " + response.code());
            }
            return response.body().bytes();
        }
    }
}
