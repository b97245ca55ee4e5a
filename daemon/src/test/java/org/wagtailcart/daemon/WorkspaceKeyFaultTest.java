package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;

/**
 * Guards against a key that is not in force, or not withdrawn, at every gateway within 2.5 s, and against a withdrawn key
 * that is valid again after a fault. Three control members and two gateways are real processes.
 */
@Timeout(180)
class WorkspaceKeyFaultTest {
    private static final long IN_FORCE_MILLIS = 2_500;
    private static final String OLD_KEY = "26tta828m82thhkmgjqn";
    private static final String NEW_KEY = "irth5mgjy5rcpihhacru";
    private static final List<String> GATEWAYS = List.of("gateway-1", "gateway-2");

    private final Address platformAddress = TestAddresses.free();
    private final Address replicaAddress = TestAddresses.free();
    private final Queue<String> receivedHeaders = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = Executors.newFixedThreadPool(4);
    private HttpServer platform;
    private HttpServer replica;

    @TempDir
    private Path folder;

    @BeforeEach
    void startServers() throws IOException {
        replica = HttpServer.create(new InetSocketAddress(replicaAddress.ip(), replicaAddress.port()), 50);
        replica.setExecutor(threads);
        replica.createContext("/", exchange -> {
            receivedHeaders.add(exchange.getRequestHeaders().entrySet().toString());
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders()
                    .set("X-Request-Id", exchange.getRequestHeaders().getFirst("X-Request-Id"));
            exchange.getResponseHeaders().set("X-Server-Stamp", "s");
            exchange.sendResponseHeaders(200, 2);
            exchange.getResponseBody().write("ok".getBytes(StandardCharsets.UTF_8));
            exchange.close();
        });
        replica.start();
        platform = HttpServer.create(new InetSocketAddress(platformAddress.ip(), platformAddress.port()), 50);
        byte[] page = page().getBytes(StandardCharsets.UTF_8);
        platform.createContext("/instances", exchange -> {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, page.length);
            exchange.getResponseBody().write(page);
            exchange.close();
        });
        platform.start();
    }

    @AfterEach
    void stopServers() {
        platform.stop(0);
        replica.stop(0);
        threads.shutdownNow();
    }

    private String page() {
        return """
                {"instances":[{"id":"i-1","service":"stock","address":"%s","zone":"default","version":"v1","state":"ready",\
                "slots":16}]}"""
                .formatted(replicaAddress);
    }

    private static String routes(long version, String... keys) {
        return """
                {"version":%d,"routes":[{"name":"r-1","host":"127.0.0.1","path_prefix":"/stock/","route_type":"unsafe",\
                "timeout_ms":3000,"service":"stock"}],"services":[{"name":"stock","max_conns":96}],\
                "tenants":[{"name":"hule930","api_keys":["%s"]}]}"""
                .formatted(version, String.join("\",\"", keys));
    }

    private static int status(ProcessFleet fleet, String gateway, String key) {
        HttpRequest request = fleet.callerRequest(gateway, "/stock/x")
                .header("X-Request-Id", "r-" + System.nanoTime())
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        return fleet.send(request).statusCode();
    }

    private static boolean everywhere(ProcessFleet fleet, String key, int status) {
        return GATEWAYS.stream().allMatch(gateway -> status(fleet, gateway, key) == status);
    }

    /** Submits a table and returns the time after its acknowledgement until a key has a status at all gateways. */
    private static long millisUntil(ProcessFleet fleet, String routes, String key, int status) {
        fleet.replaceRoutes(routes);
        long startNanos = System.nanoTime();
        fleet.await("status " + status + " everywhere", () -> everywhere(fleet, key, status));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void assertNeverServed(ProcessFleet fleet, String key, long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            GATEWAYS.forEach(gateway -> assertThat(status(fleet, gateway, key)).isAnyOf(401, 503));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }

    @Test
    void keysAreInForceAndWithdrawnEverywhereInTimeAndNeverReverted() {
        try (ProcessFleet fleet = new ProcessFleet(folder, 3, Optional.of(platformAddress))) {
            GATEWAYS.forEach(gateway -> fleet.startDaemon(gateway, "gateway"));
            fleet.replaceRoutes(routes(1, OLD_KEY));
            GATEWAYS.forEach(fleet::awaitReady);
            fleet.await("the first key", () -> everywhere(fleet, OLD_KEY, 200) && everywhere(fleet, NEW_KEY, 401));
            long addedMillis = millisUntil(fleet, routes(2, OLD_KEY, NEW_KEY), NEW_KEY, 200);
            assertThat(everywhere(fleet, OLD_KEY, 200)).isTrue();
            long withdrawnMillis = millisUntil(fleet, routes(3, NEW_KEY), OLD_KEY, 401);
            assertThat(everywhere(fleet, NEW_KEY, 200)).isTrue();
            System.out.println("in force after " + addedMillis + " ms, withdrawn after " + withdrawnMillis + " ms");
            assertThat(addedMillis).isLessThan(IN_FORCE_MILLIS);
            assertThat(withdrawnMillis).isLessThan(IN_FORCE_MILLIS);

            fleet.replaceRoutes(routes(2, OLD_KEY, NEW_KEY));
            assertNeverServed(fleet, OLD_KEY, 500);
            String leader = fleet.leader();
            fleet.process(leader).kill();
            assertNeverServed(fleet, OLD_KEY, 2_000);
            fleet.startDaemon(leader, "control");
            fleet.process(GATEWAYS.get(0)).kill();
            fleet.startDaemon(GATEWAYS.get(0), "gateway");
            fleet.awaitReady(GATEWAYS.get(0));
            fleet.await("the new key", () -> everywhere(fleet, NEW_KEY, 200));
            assertNeverServed(fleet, OLD_KEY, 1_000);

            fleet.controlMembers().forEach(member -> fleet.process(member).pause());
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(3_000));
            assertThat(everywhere(fleet, NEW_KEY, 200)).isTrue();
            assertThat(everywhere(fleet, OLD_KEY, 503)).isTrue();
            fleet.controlMembers().forEach(member -> fleet.process(member).resume());
            fleet.await("a confirmation", () -> everywhere(fleet, OLD_KEY, 401));
            assertNoKeys(fleet);
        }
    }

    private void assertNoKeys(ProcessFleet fleet) {
        GATEWAYS.forEach(gateway -> assertThat(fleet.process(gateway).readLog()).contains("request-ended"));
        String logs = Stream.concat(GATEWAYS.stream(), fleet.controlMembers().stream())
                .map(name -> fleet.process(name).readLog())
                .collect(Collectors.joining());
        String outputs = logs + receivedHeaders;
        assertThat(outputs).contains("hule930");
        List.of(OLD_KEY, NEW_KEY).forEach(key -> assertWithMessage("key in an output")
                .that(outputs.contains(key))
                .isFalse());
    }
}
