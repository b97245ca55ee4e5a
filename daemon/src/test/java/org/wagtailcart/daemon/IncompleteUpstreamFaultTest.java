package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.RawServer;
import org.wagtailcart.testing.TestAddresses;

/**
 * Guards against a part of a response, or a response with an invalid status, that reaches a caller as an answer:
 * replicas answer uploads at once, cut the answer by a reset, or answer with status 000. Control member and gateway are
 * real processes.
 */
class IncompleteUpstreamFaultTest {
    private static final String GATEWAY = "gateway-1";
    private static final String SERVICE = "stock";
    private static final int REPLICAS = 6;
    private static final int CALLERS = 8;
    private static final int UPLOADS_PER_CALLER = 25;
    private static final int UPLOAD_BYTES = 1_500_000;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String COMPLETE_BODY = "a complete answer to an upload";

    /** How a replica answers an upload. */
    private enum Behavior {
        COMPLETE {
            @Override
            void answer(Socket socket, String head, Random random) throws IOException {
                socket.getInputStream().skipNBytes(UPLOAD_BYTES);
                RawServer.write(socket, response("200 OK", head), random);
            }
        },
        PART_THEN_RESET {
            @Override
            void answer(Socket socket, String head, Random random) throws IOException {
                String response =
                        "HTTP/1.1 200 OK\r\n" + identification(head) + "\r\n" + COMPLETE_BODY.substring(0, 18);
                RawServer.write(socket, response, random);
                socket.getInputStream().readNBytes(random.nextInt(UPLOAD_BYTES / 2));
                RawServer.resetOnClose(socket);
                socket.close();
            }
        },
        STATUS_000 {
            @Override
            void answer(Socket socket, String head, Random random) throws IOException {
                socket.getInputStream().skipNBytes(UPLOAD_BYTES);
                RawServer.write(socket, response("000 Unknown", head), random);
            }
        };

        abstract void answer(Socket socket, String head, Random random) throws IOException;

        private static String identification(String head) {
            return "X-Request-Id: " + RawServer.field(head, "X-Request-Id") + "\r\nX-Server-Stamp: s\r\n";
        }

        private static String response(String status, String head) {
            return "HTTP/1.1 " + status + "\r\n" + identification(head) + "Content-Length: " + COMPLETE_BODY.length()
                    + "\r\n\r\n" + COMPLETE_BODY;
        }
    }

    private final Map<Behavior, AtomicInteger> played = new ConcurrentSkipListMap<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void onlyCompleteAnswersReachCallers(long seed, @TempDir Path folder) throws Exception {
        Address hostList = TestAddresses.free();
        HttpServer platform = HttpServer.create(new InetSocketAddress(hostList.ip(), hostList.port()), 50);
        List<RawServer> replicas = new ArrayList<>();
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try (ProcessFleet fleet = new ProcessFleet(folder, 1, Optional.of(hostList))) {
            for (int i = 0; i < REPLICAS; i++) {
                long replica = seed * REPLICAS + i;
                replicas.add(new RawServer(socket -> serve(socket, replica)));
            }
            serveHostList(platform, replicas);
            fleet.startDaemon(GATEWAY, "gateway");
            fleet.replaceRoutes(routes());
            fleet.awaitReady(GATEWAY);
            Address gateway = fleet.address(GATEWAY + ".caller");
            List<CompletableFuture<Void>> callers = IntStream.range(0, CALLERS)
                    .mapToObj(caller -> CompletableFuture.runAsync(() -> upload(gateway, caller), threads))
                    .toList();
            callers.forEach(CompletableFuture::join);
            String summary = "seed " + seed + ": played " + played + "; outcomes " + outcomes;
            System.out.println(summary);
            assertWithMessage(summary + "\n" + fleet.logs())
                    .that(outcomes.keySet().stream()
                            .filter(outcome -> !outcome.matches("complete 200|error [45][0-9]{2}|closed"))
                            .toList())
                    .isEmpty();
            assertWithMessage(summary).that(outcomes).containsKey("complete 200");
            assertWithMessage(summary).that(played.keySet()).containsExactlyElementsIn(Behavior.values());
        } finally {
            threads.shutdownNow();
            platform.stop(0);
            for (RawServer replica : replicas) {
                replica.close();
            }
        }
    }

    private void serve(Socket socket, long replica) throws IOException {
        for (String head = RawServer.readHead(socket.getInputStream());
                !head.isEmpty();
                head = RawServer.readHead(socket.getInputStream())) {
            Random random = new Random(
                    31 * replica + RawServer.field(head, "X-Request-Id").hashCode());
            if (head.startsWith("POST")) {
                Behavior behavior = Behavior.values()[Math.max(0, random.nextInt(5) - 2)];
                played.computeIfAbsent(behavior, first -> new AtomicInteger()).incrementAndGet();
                behavior.answer(socket, head, random);
            } else {
                RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", random);
            }
        }
    }

    private static void serveHostList(HttpServer platform, List<RawServer> replicas) {
        byte[] page = IntStream.range(0, replicas.size())
                .mapToObj(i ->
                        """
                        {"id":"i-%d","service":"%s","address":"%s","zone":"fes","version":"v1","slots":16,\
                        "state":"ready","cold_left_ms":0}"""
                                .formatted(i, SERVICE, replicas.get(i).address()))
                .collect(Collectors.joining(",", "{\"instances\":[", "],\"next\":null}"))
                .getBytes(StandardCharsets.UTF_8);
        platform.createContext("/instances", exchange -> {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, page.length);
            exchange.getResponseBody().write(page);
            exchange.close();
        });
        platform.start();
    }

    private static String routes() {
        String route =
                """
                {"name":"r-%1$s","host":"h.example","path_prefix":"/%1$s/","route_type":"%1$s","timeout_ms":%2$d,\
                "target_latency_ms":500,"priority":0,"service":"%3$s","max_attempts":%4$d}""";
        return """
                {"version":1,"routes":[%s,%s],"services":[{"name":"%s","health_path":"/health","max_conns":400}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}"""
                .formatted(
                        route.formatted("safe", TIMEOUT_MILLIS, SERVICE, 2),
                        route.formatted("unsafe", TIMEOUT_MILLIS, SERVICE, 1),
                        SERVICE);
    }

    private void upload(Address gateway, int caller) {
        byte[] body = new byte[UPLOAD_BYTES];
        for (int i = 0; i < UPLOADS_PER_CALLER; i++) {
            String head = "POST /" + (i % 2 == 0 ? "safe" : "unsafe") + "/" + i + " HTTP/1.1\r\nHost: h.example\r\n"
                    + "X-Request-Id: r-" + caller + "-" + i + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS
                    + "\r\nConnection: close\r\nContent-Length: " + UPLOAD_BYTES + "\r\n\r\n";
            String outcome = outcome(gateway, head, body);
            outcomes.computeIfAbsent(outcome, first -> new AtomicInteger()).incrementAndGet();
        }
    }

    private static String outcome(Address gateway, String head, byte[] body) {
        try (Socket socket = new Socket(gateway.ip(), gateway.port())) {
            socket.setSoTimeout(6 * TIMEOUT_MILLIS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            RawHttpMessage answer = RawHttpMessage.read(new BufferedInputStream(socket.getInputStream()));
            String status = answer.startLine().substring(9, 12);
            if (!status.startsWith("2")) {
                return "error " + status;
            }
            return (answer.body().equals(COMPLETE_BODY) ? "complete " : "part ") + status;
        } catch (SocketTimeoutException e) {
            return "no answer";
        } catch (IOException e) {
            return "closed";
        }
    }
}
