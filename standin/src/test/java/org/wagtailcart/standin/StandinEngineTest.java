package org.wagtailcart.standin;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;

/** Guards against a stand-in engine whose own faults would hide faults of the system under test. */
class StandinEngineTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private Address address;
    private StandinEngine engine;

    @BeforeEach
    void start() {
        address = TestAddresses.free();
        engine = new StandinEngine(EngineOptions.forTest(address, "m"));
        engine.start();
    }

    @AfterEach
    void stop() {
        engine.close();
    }

    /** Guards against a resumed stream that repeats or loses tokens, which would hide the same fault in the system. */
    @ParameterizedTest
    @CsvSource({"0, 20", "7, 20", "20, 20"})
    void resumedStreamContinuesTheSameTokens(int from, int to) throws Exception {
        String answer = post("/v1/completions", stream(from, to)).body();
        for (int index = from; index < to; index++) {
            assertThat(answer).contains("id: " + index + "\n");
            assertThat(answer).contains(Tokens.token("hello", index));
        }
        assertThat(answer).endsWith("data: [DONE]\n\n");
        assertThat(answer.split("id: ", -1)).hasLength(to - from + 1);
    }

    /** Guards against an unstreamed response that lacks tokens of the streamed one, or the request id. */
    @Test
    void unstreamedResponseHasAllTokensAndTheRequestId() throws Exception {
        HttpResponse<String> answer =
                post("/v1/completions", "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":5}");
        assertThat(answer.body()).contains(Tokens.text("hello", 0, 5));
        assertThat(answer.headers().firstValue("X-Request-Id")).hasValue("r1");
    }

    /** Guards against an engine that checks fencing tokens but accepts a stale order, or does not record it. */
    @Test
    void staleOrderIsRefusedAndRecorded() throws Exception {
        assertThat(post("/engine/orders", order(7)).statusCode()).isEqualTo(202);
        awaitState("\"changing\":false");
        assertThat(post("/engine/orders", order(6)).statusCode()).isEqualTo(409);
        assertThat(engine.orders().stream().map(OrderRecord::conflicting).toList())
                .containsExactly(false, true)
                .inOrder();
    }

    /** Guards against a truncated stream that still carries its end marker. */
    @Test
    void truncatedStreamHasNoEndMarker() throws Exception {
        engine.fault(Fault.once(FaultKind.TRUNCATE));
        assertThat(post("/v1/completions", stream(0, 9)).body()).doesNotContain("[DONE]");
    }

    /** Guards against a {@link FaultKind#CROSS} fault without effect, which would let every check for it pass. */
    @Test
    void crossedResponsesCarryTheOtherRequestId() throws Exception {
        engine.fault(new Fault(FaultKind.CROSS, 1, 0, 0));
        HttpResponse<String> answer = post("/v1/completions", stream(0, 3));
        assertThat(answer.headers().firstValue("X-Request-Id")).hasValue("unknown-r1");
    }

    /** Guards against a KV cache that cannot be transferred from a prefill engine to a decode engine. */
    @Test
    void heldKvIsImportedByAnotherEngine() throws Exception {
        Address other = TestAddresses.free();
        try (StandinEngine decode = new StandinEngine(EngineOptions.forTest(other, "m"))) {
            decode.start();
            String held = "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":0,\"hold_kv\":true}";
            assertThat(post("/v1/completions", held).statusCode()).isEqualTo(200);
            String source = "{\"address\":\"" + address + "\",\"request_id\":\"r1\"}";
            String body = "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":3,\"kv_source\":" + source + "}";
            assertThat(post(other, "/v1/completions", body).body()).contains(Tokens.text("hello", 0, 3));
            assertThat(decode.counters().kvImports()).isEqualTo(1);
        }
    }

    private void awaitState(String part) throws Exception {
        List<String> seen = new ArrayList<>();
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < deadline) {
            String state = get("/engine/state");
            seen.add(state);
            if (state.contains(part)) {
                return;
            }
        }
        throw new AssertionError("no state with " + part + " in " + seen.get(seen.size() - 1));
    }

    private static String stream(int from, int to) {
        return "{\"model\":\"m\",\"prompt\":\"hello\",\"stream\":true,\"resume_from\":" + from + ",\"max_tokens\":" + to
                + "}";
    }

    private static String order(long token) {
        return "{\"fencing_token\":" + token
                + ",\"role\":\"decode\",\"model\":\"m\",\"adapter\":\"\",\"version\":\"1\"}";
    }

    private String get(String path) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return post(address, path, body);
    }

    private HttpResponse<String> post(Address to, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + to + path))
                .header("X-Request-Id", "r1")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
