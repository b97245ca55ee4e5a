package org.wagtailcart.standin;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.wagtailcart.common.Address;

/** HTTP client for requests from one stand-in to another. */
final class StandinHttpClient {
    private static final OkHttpClient CLIENT =
            new OkHttpClient.Builder().readTimeout(60, TimeUnit.SECONDS).build();

    private StandinHttpClient() {}

    /**
     * Sends a GET request and returns the response body.
     *
     * @throws IOException when the request fails or the response status is not 2xx
     */
    static byte[] get(Address from, String path) throws IOException {
        Request request = new Request.Builder().url("http://" + from + path).build();
        try (Response response = CLIENT.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException(from + path + " returned status " + response.code());
            }
            return response.body().bytes();
        }
    }
}
