package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests to a plain service whose first replica misbehaves; the other one is sound. */
class PlainRequestTest {
    private static final String NOT_RUN = "Not-Run: 1\r\n";

    /** The first replica is alone until the request has reached it, then the sound one is listed as well. */
    static Stream<Arguments> firstReplicas() {
        return Stream.of(
                // what the first replica does, route, status for the caller, runs allowed at the sound replica
                Arguments.of("sheds", TestUpstream.status(503, NOT_RUN), "unsafe", 200, 1),
                Arguments.of("is another instance", TestUpstream.status(421, ""), "unsafe", 200, 1),
                Arguments.of("resets after reading", TestUpstream.reset(), "unsafe", 502, 0),
                Arguments.of("resets after reading", TestUpstream.reset(), "safe", 200, 1),
                Arguments.of("fails", TestUpstream.status(500, "Stamp: s\r\n"), "safe", 200, 1),
                Arguments.of("fails", TestUpstream.status(500, "Stamp: s\r\n"), "unsafe", 500, 0),
                Arguments.of("says busy without proof", TestUpstream.status(503, "Stamp: s\r\n"), "unsafe", 502, 0),
                Arguments.of("answers without a stamp", TestUpstream.status(200, ""), "unsafe", 502, 0),
                Arguments.of("answers another request", foreign(), "unsafe", 502, 0),
                Arguments.of("answers another request", foreign(), "safe", 200, 1),
                Arguments.of("answers without an id", withoutId(), "unsafe", 502, 0),
                Arguments.of("cuts its body", cutBody(), "unsafe", 502, 0),
                Arguments.of("cuts its body", cutBody(), "safe", 200, 1),
                Arguments.of("writes no HTTP", noHttp(), "unsafe", 502, 0));
    }

    private static TestUpstream.Script foreign() {
        return (request, out, socket) -> {
            TestUpstream.write(out, "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno");
            return true;
        };
    }

    private static TestUpstream.Script withoutId() {
        return (request, out, socket) -> {
            TestUpstream.write(out, "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno");
            return true;
        };
    }

    private static TestUpstream.Script cutBody() {
        return (request, out, socket) -> {
            TestUpstream.write(
                    out,
                    "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
                            + "\r\nStamp: s\r\nContent-Length: 20\r\n\r\nhalf");
            return false;
        };
    }

    private static TestUpstream.Script noHttp() {
        return (request, out, socket) -> {
            TestUpstream.write(out, "\u0001\u0002 nonsense\r\n\r\n");
            return false;
        };
    }

    @ParameterizedTest(name = "{0}, {2}: {3}")
    @MethodSource("firstReplicas")
    void aRequestRunsAgainOnlyWhereThatIsAllowed(
            String what, TestUpstream.Script script, String route, int status, int runs) throws Exception {
        try (TestUpstream first = new TestUpstream(script);
                TestUpstream sound = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            // Ids decide between equal replicas, so the request goes to the first.
            rig.add("a", "stock", first, null);
            rig.add("b", "stock", sound, null);
            rig.start();
            HttpResponse<String> response = rig.send(rig.request(route, "r-1", 3_000));
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(first.received()).hasSize(1);
            assertThat(sound.received()).hasSize(runs);
            if (status == 200) {
                assertThat(response.body()).isEqualTo("fine");
            }
        }
    }

    /** 503 promises that the request did not run. */
    @Test
    void whenAllReplicasShedTheCallerIsToldToComeBack() throws Exception {
        try (TestUpstream one = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                TestUpstream two = new TestUpstream(TestUpstream.status(503, NOT_RUN));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "stock", one, null);
            rig.add("b", "stock", two, null);
            rig.start();
            HttpResponse<String> response = rig.send(rig.request("unsafe", "r-1", 3_000));
            assertThat(response.statusCode()).isAnyOf(429, 503);
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
        }
    }

    @ParameterizedTest
    @CsvSource({"unsafe, 504", "safe, 504"})
    void aSilentReplicaEndsTheRequestAtItsDeadline(String route, int status) throws Exception {
        TestUpstream.Script silent = (request, out, socket) -> {
            java.util.concurrent.locks.LockSupport.parkNanos(20_000_000_000L);
            return false;
        };
        try (TestUpstream one = new TestUpstream(silent);
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "stock", one, null);
            rig.start();
            assertThat(rig.send(rig.request(route, "r-1", 400)).statusCode()).isEqualTo(status);
        }
    }

    @Test
    void theRequestReachesTheReplicaUnchangedWithTheTimeThatIsLeft() throws Exception {
        try (TestUpstream one = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "stock", one, null);
            rig.start();
            rig.send(rig.request("unsafe", "r-7", 3_000));
            TestUpstream.Received received = one.received().get(0);
            assertThat(received.line()).isEqualTo("POST /unsafe/x HTTP/1.1");
            assertThat(received.header("Host")).isEqualTo("h.example");
            assertThat(received.header("Id")).isEqualTo("r-7");
            assertThat(received.header("Instance")).isEqualTo("a");
            assertThat(Long.parseLong(received.header("Left"))).isAtMost(3_000);
            assertThat(received.header("Content-Length")).isEqualTo("4");
        }
    }

    @Test
    void aRouteThatDoesNotExistIsNotFound() throws Exception {
        try (TestUpstream one = new TestUpstream(TestUpstream.ok("fine"));
                GatewayTestHarness rig = new GatewayTestHarness()) {
            rig.add("a", "stock", one, null);
            rig.start();
            assertThat(rig.send(rig.request("nowhere", "r-1", 1_000)).statusCode())
                    .isEqualTo(404);
            assertThat(one.received()).isEmpty();
        }
    }
}
