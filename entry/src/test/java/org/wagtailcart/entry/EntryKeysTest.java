package org.wagtailcart.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.workspace.KeyDigest;

/** Guards against an entry that serves callers without a key of the settings tree, or passes their keys on. */
class EntryKeysTest {
    private static final String PATH = "/services/parts/look";
    private static final byte[] SALT = KeyDigest.newSalt();
    private static final String KEY = "26tta828m82thhkmgjqn";
    private static final String OTHER_KEY = "irth5mgjy5rcpihhacru";

    private final FakeControl control = new FakeControl();
    private final FakeSidecar sidecar = new FakeSidecar();
    private EntryFixture fixture;

    @BeforeEach
    void start() {
        control.addService("p1", sidecar.address, 1);
        fixture = new EntryFixture(control, ControlLossPolicy.SERVE_IDEMPOTENT);
    }

    @AfterEach
    void stop() {
        fixture.close();
        sidecar.close();
    }

    private void setKeys(String... keys) {
        control.set("/workspaces", "key-salt", KeyDigest.formatSalt(SALT));
        control.set("/workspaces/hule", "key-digests", digests(keys));
        control.set("/workspaces/hule", "requests-per-second", "1000");
        fixture.awaitInstalled();
    }

    private static String digests(String... keys) {
        return Arrays.stream(keys).map(key -> KeyDigest.of(SALT, key)).collect(Collectors.joining(", "));
    }

    private HttpResponse<String> call(String authorization) {
        return authorization.isEmpty()
                ? fixture.post(PATH, "x").join()
                : fixture.post(PATH, "x", "Authorization", authorization, "Wagtailcart-Workspace", "forged")
                        .join();
    }

    @ParameterizedTest
    @CsvSource({
        "Bearer " + KEY + ", 200",
        "bearer " + KEY + ", 200",
        "Bearer " + OTHER_KEY + ", 401",
        "Basic " + KEY + ", 401",
        "Bearer, 401",
        "'', 401"
    })
    void aCallerNeedsAKeyOfTheTree(String authorization, int status) {
        setKeys(KEY);
        HttpResponse<String> response = call(authorization);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(sidecar.received).hasSize(status == 200 ? 1 : 0);
        if (status == 200) {
            assertThat(sidecar.received.peek().headers()).doesNotContain("Bearer " + KEY);
            assertThat(sidecar.received.peek().headers()).doesNotContain("forged");
        } else {
            assertThat(response.body()).contains("\"code\":1006");
            assertThat(response.body()).doesNotContain(KEY);
            assertThat(response.headers().firstValue("WWW-Authenticate")).hasValue("Bearer");
        }
    }

    /** Guards against a tree without digests, which needs no key and forwards all headers. */
    @Test
    void aTreeWithoutDigestsNeedsNoKey() {
        control.set("/workspaces/hule", "requests-per-second", "1000");
        fixture.awaitInstalled();
        assertThat(call("").statusCode()).isEqualTo(200);
        assertThat(call("Bearer any").statusCode()).isEqualTo(200);
        assertThat(sidecar.received.stream()
                        .anyMatch(request -> request.headers().contains("Bearer any")))
                .isTrue();
    }

    /** Guards against a withdrawn key that is accepted, and a final refusal by settings that may be outdated. */
    @Test
    void aWithdrawnKeyIsRefusedAndAnUnknownOneNotForGoodWithoutConfirmation() {
        setKeys(KEY, OTHER_KEY);
        assertThat(call("Bearer " + KEY).statusCode()).isEqualTo(200);
        setKeys(OTHER_KEY);
        assertThat(call("Bearer " + KEY).statusCode()).isEqualTo(401);
        assertThat(call("Bearer " + OTHER_KEY).statusCode()).isEqualTo(200);
        control.leaseDeadlineMillis = Long.MIN_VALUE;
        assertThat(call("Bearer " + OTHER_KEY).statusCode()).isEqualTo(200);
        HttpResponse<String> refused = call("Bearer " + KEY);
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("\"code\":4007");
    }
}
