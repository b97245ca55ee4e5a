package org.wagtailcart.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** HTTP client of the operator interface that tries the control members in order. */
final class OperatorClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");

    private final ObjectMapper mapper =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    private final OkHttpClient http;
    private final List<Address> servers;
    private final String token;

    OperatorClient(List<Address> servers, String token) {
        this.servers = List.copyOf(servers);
        this.token = token;
        this.http = new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .connectTimeout(Duration.ofSeconds(3))
                // Above the two minutes for which the longest call waits for a revision to be in force.
                .readTimeout(Duration.ofSeconds(130))
                .build();
    }

    JsonNode get(String path, Map<String, String> query) {
        return parse(getText(path, query));
    }

    String getText(String path, Map<String, String> query) {
        return call(path, query, new Request.Builder().get());
    }

    JsonNode post(String path, Record body) {
        try {
            return parse(call(
                    path,
                    Map.of(),
                    new Request.Builder().post(RequestBody.create(mapper.writeValueAsBytes(body), JSON))));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    JsonNode postText(String path, Map<String, String> query, byte[] text) {
        return parse(call(path, query, new Request.Builder().post(RequestBody.create(text, TEXT))));
    }

    @Override
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    /**
     * Sends a request to one server after another until one completes or refuses it for a reason that holds on all
     * servers. Trying the next server is safe for a change, as a server returns the first result for a known change id.
     */
    private String call(String path, Map<String, String> query, Request.Builder request) {
        ExitCode exitCode = ExitCode.UNREACHABLE;
        String lastError = "";
        for (Address server : servers) {
            HttpUrl.Builder url = new HttpUrl.Builder()
                    .scheme("http")
                    .host(server.ip().replaceAll("[\\[\\]]", ""))
                    .port(server.port())
                    .encodedPath(path);
            query.forEach(url::addQueryParameter);
            Request built = request.url(url.build())
                    .header("Authorization", "Bearer " + token)
                    .build();
            try (Response response = http.newCall(built).execute()) {
                String text = response.body().string();
                if (response.isSuccessful()) {
                    return text;
                }
                ErrorResponse error = parseError(response, text);
                if (!error.tryNext()) {
                    throw new CliException(
                            exitCode == ExitCode.UNKNOWN_OUTCOME ? exitCode : error.exitCode(), error.text());
                }
                exitCode = exitCode == ExitCode.UNKNOWN_OUTCOME ? exitCode : error.exitCode();
                lastError = error.text();
            } catch (ConnectException e) {
                lastError = server + ": " + e.getMessage();
            } catch (IOException e) {
                lastError = server + ": " + e.getMessage();
                exitCode = built.method().equals("GET") ? exitCode : ExitCode.UNKNOWN_OUTCOME;
            }
        }
        throw new CliException(exitCode, "no control member completed the request; last error: " + lastError);
    }

    private record ErrorResponse(ExitCode exitCode, String text, boolean tryNext) {}

    private ErrorResponse parseError(Response response, String body) {
        JsonNode error;
        try {
            error = mapper.readTree(body).path("error");
        } catch (JsonProcessingException e) {
            return new ErrorResponse(ExitCode.UNKNOWN_OUTCOME, "HTTP " + response.code() + ": " + body, true);
        }
        int code = error.path("code").asInt();
        boolean notRun = error.path("run_state").asText().equals("not-run");
        String text = "code " + code + " (" + error.path("type").asText() + ", "
                + error.path("run_state").asText() + ", "
                + (error.path("repeat_safe").asBoolean() ? "safe to repeat" : "not safe to repeat") + "): "
                + error.path("message").asText();
        boolean otherMemberMayAccept = code == ResultCode.NOT_LEADER.number()
                || code == ResultCode.NO_QUORUM.number()
                || code == ResultCode.LEADERSHIP_LOST.number();
        return new ErrorResponse(notRun ? ExitCode.REFUSED : ExitCode.UNKNOWN_OUTCOME, text, otherMemberMayAccept);
    }

    private JsonNode parse(String text) {
        try {
            return mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "response is not JSON: " + text, e);
        }
    }
}
