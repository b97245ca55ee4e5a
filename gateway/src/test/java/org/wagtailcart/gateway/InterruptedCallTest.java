package org.wagtailcart.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;

/** Guards against a caller who waits without an answer because its call was interrupted while it connected. */
class InterruptedCallTest {
    private static final int CONNECT_MILLIS = 200;

    @ParameterizedTest
    @ValueSource(strings = {"safe", "unsafe", "stream"})
    void aCallInterruptedWhileItConnectsIsRefusedAsNotRun(String route) throws Exception {
        List<Socket> filling = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                GatewayTestHarness harness = new GatewayTestHarness()) {
            fillBacklog(silent, filling);
            Address address = new Address("127.0.0.1", silent.getLocalPort());
            harness.add("a", "stock", address, null);
            harness.add("p", "brain", address, EngineRole.PREFILL);
            harness.add("d", "brain", address, EngineRole.DECODE);
            harness.start();
            CompletableFuture<HttpResponse<String>> response = harness.sendAsync(harness.request(route, "r", 4_000));
            awaitRequestInFlight(harness);
            harness.interruptCalls();
            assertThat(response.get(30, TimeUnit.SECONDS).statusCode()).isEqualTo(503);
            assertThat(response.get().body()).contains("\"code\":6008");
            assertThat(response.get().body()).contains("not-run");
            harness.role().dump().upstreams().forEach(state -> assertThat(state.available())
                    .isTrue());
        } finally {
            for (Socket socket : filling) {
                socket.close();
            }
        }
    }

    private static void awaitRequestInFlight(GatewayTestHarness harness) throws InterruptedException {
        for (int i = 0; i < 2_000 && !inFlight(harness); i++) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(inFlight(harness)).isTrue();
    }

    private static boolean inFlight(GatewayTestHarness harness) {
        return harness.role().dump().upstreams().stream().anyMatch(state -> state.inFlight() > 0);
    }

    /** Connects to a listener that accepts nothing, until a further connection gets no answer. */
    private static void fillBacklog(ServerSocket listener, List<Socket> filling) throws Exception {
        while (filling.size() < 20) {
            Socket socket = new Socket();
            filling.add(socket);
            try {
                socket.connect(listener.getLocalSocketAddress(), CONNECT_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }
}
