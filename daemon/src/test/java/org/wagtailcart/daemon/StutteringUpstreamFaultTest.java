package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;

/**
 * Guards against a caller of a gateway that gets an answer that no upstream gave to its request, such as a success where
 * the upstream answered with an error: upstreams write an earlier response of a kept connection once more, whole or cut,
 * near the response to the next request. Control member and gateway are real processes.
 *
 * <p>More seeds by hand: {@code -Dwagtailcart.stutter.seeds=50 -Dwagtailcart.stutter.first-seed=1}.
 */
class StutteringUpstreamFaultTest {
    private static final long SEEDS = Long.getLong("wagtailcart.stutter.seeds", 2);
    private static final long FIRST_SEED = Long.getLong("wagtailcart.stutter.first-seed", 1);
    private static final String GATEWAY = "gateway-1";
    private static final String HOST = "parts.example";
    private static final int REPLICAS = 42;
    private static final int CALLERS = 64;
    private static final int REQUESTS_PER_CALLER = 100;
    private static final int MAX_ATTEMPTS = 2;
    private static final int TIMEOUT_MILLIS = 3_000;
    /** Bounds the wait for an answer that never comes. */
    private static final int HANG_MILLIS = 60_000;
    /** A caller does not send again at once after a refusal. */
    private static final int REFUSED_PAUSE_MILLIS = 20;

    private static final double REPEATED_ID_PROBABILITY = 0.1;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int MAX_SHOWN = 20;

    /** Kind of route, and how often a request on it may run. */
    private enum Kind {
        SAFE(MAX_ATTEMPTS),
        UNSAFE(1);

        private final int maxRuns;

        Kind(int maxRuns) {
            this.maxRuns = maxRuns;
        }

        private String pathPrefix() {
            return "/" + routeType() + "/";
        }

        private String routeType() {
            return name().toLowerCase(Locale.ROOT);
        }

        private String route() {
            return """
                    {"name":"r-%1$s","host":"%2$s","path_prefix":"%3$s","route_type":"%1$s","timeout_ms":%4$d,\
                    "target_latency_ms":500,"priority":0,"service":"%5$s","max_attempts":%6$d}"""
                    .formatted(routeType(), HOST, pathPrefix(), TIMEOUT_MILLIS, StutteringReplicas.SERVICE, maxRuns);
        }
    }

    /** Request of a caller; several attempts may bear the same id. */
    private record Attempt(Kind kind, String name, String id) {
        String text() {
            String body = kind == Kind.UNSAFE ? "part " + name : "";
            return (kind == Kind.UNSAFE ? "POST " : "GET ") + kind.pathPrefix() + name + " HTTP/1.1\r\nHost: " + HOST
                    + "\r\nX-Request-Id: " + id + "\r\n" + StutteringReplicas.ATTEMPT + ": " + name
                    + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                    + body;
        }
    }

    /**
     * Attempt and what came of it.
     *
     * @param answer empty if the connection was closed without a complete answer
     * @param protocolError describes bytes that are no answer, or a wait without end
     */
    private record Result(Attempt attempt, Optional<RawHttpMessage> answer, Optional<String> protocolError) {}

    private final Map<String, AtomicInteger> countsByOutcome = new ConcurrentSkipListMap<>();
    private final Map<String, AtomicInteger> countsByFault = new ConcurrentSkipListMap<>();
    private final Queue<String> wrongAnswers = new ConcurrentLinkedQueue<>();

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void callersGetOnlyAnswersToTheirOwnRequests(long seed, @TempDir Path folder) throws IOException {
        Address hostList = TestAddresses.free();
        HttpServer platform = HttpServer.create(new InetSocketAddress(hostList.ip(), hostList.port()), 50);
        try (StutteringReplicas replicas = new StutteringReplicas(seed, REPLICAS);
                ProcessFleet fleet = new ProcessFleet(folder, 1, Optional.of(hostList))) {
            servePage(platform, replicas.hostListPage());
            replicas.start();
            fleet.startDaemon(GATEWAY, "gateway");
            fleet.replaceRoutes(routes());
            fleet.awaitReady(GATEWAY);
            Address gateway = fleet.address(GATEWAY + ".caller");
            fleet.await("a first success", () -> succeeds(gateway));
            List<Result> results = runCallers(gateway, seed);
            fleet.process(GATEWAY).kill();
            results.forEach(result -> check(result, replicas));
            String summary =
                    "seed " + seed + ": " + wrongAnswers.size() + " wrong answers " + countsByFault + "; outcomes "
                            + countsByOutcome + "; runs " + replicas.runs() + "; late copies " + replicas.lateCopies();
            System.out.println(summary);
            assertWithMessage(summary + "\n" + fleet.logs())
                    .that(wrongAnswers.stream().limit(MAX_SHOWN).toList())
                    .isEmpty();
            assertThatFaultsWerePlayed(summary, replicas);
        } finally {
            platform.stop(0);
        }
    }

    /** Guards the test itself: without late copies and successes it would show nothing. */
    private void assertThatFaultsWerePlayed(String summary, StutteringReplicas replicas) {
        replicas.lateCopies().forEach((copy, count) -> assertWithMessage(summary + ", " + copy)
                .that(count.get())
                .isGreaterThan(0));
        assertWithMessage(summary)
                .that(countsByOutcome.keySet())
                .containsAtLeast("SAFE 200", "SAFE 404", "UNSAFE 200", "UNSAFE 404", "UNSAFE 500");
    }

    private static void servePage(HttpServer platform, String page) {
        byte[] body = page.getBytes(StandardCharsets.UTF_8);
        platform.createContext("/instances", exchange -> {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        platform.start();
    }

    private static String routes() {
        return """
                {"version":1,"routes":[%s,%s],"services":[{"name":"%s","health_path":"%s","max_conns":400}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}"""
                .formatted(
                        Kind.SAFE.route(),
                        Kind.UNSAFE.route(),
                        StutteringReplicas.SERVICE,
                        StutteringReplicas.HEALTH_PATH);
    }

    private static boolean succeeds(Address gateway) {
        try (Socket socket = connect(gateway)) {
            return exchange(socket, new Attempt(Kind.SAFE, "warm-up", "warm-up"))
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static List<Result> runCallers(Address gateway, long seed) {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try {
            List<CompletableFuture<List<Result>>> callers = IntStream.range(0, CALLERS)
                    .mapToObj(caller -> CompletableFuture.supplyAsync(
                            () -> runCaller(gateway, caller, new Random(seed * CALLERS + caller)), threads))
                    .toList();
            return callers.stream().flatMap(results -> results.join().stream()).toList();
        } finally {
            threads.shutdownNow();
        }
    }

    /** Sends requests one after another on a kept connection, and opens another one when that was closed. */
    private static List<Result> runCaller(Address gateway, int caller, Random random) {
        List<Result> results = new ArrayList<>();
        List<Attempt> attempts = attempts(caller, random);
        int next = 0;
        while (next < attempts.size()) {
            try (Socket socket = connect(gateway)) {
                boolean open = true;
                while (open && next < attempts.size()) {
                    Result result = tryExchange(socket, attempts.get(next));
                    next++;
                    results.add(result);
                    open = result.answer.isPresent()
                            && !result.answer.get().header("Connection").equalsIgnoreCase("close");
                    if (result.answer
                            .filter(StutteringUpstreamFaultTest::refused)
                            .isPresent()) {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(REFUSED_PAUSE_MILLIS));
                    }
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return results;
    }

    private static List<Attempt> attempts(int caller, Random random) {
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
            Kind kind = random.nextBoolean() ? Kind.SAFE : Kind.UNSAFE;
            List<String> earlierIds = attempts.stream()
                    .filter(attempt -> attempt.kind == Kind.SAFE)
                    .map(Attempt::id)
                    .toList();
            boolean repeats =
                    kind == Kind.SAFE && !earlierIds.isEmpty() && random.nextDouble() < REPEATED_ID_PROBABILITY;
            String id = repeats
                    ? earlierIds.get(earlierIds.size() - 1 - random.nextInt(Math.min(5, earlierIds.size())))
                    : "%016x".formatted(random.nextLong());
            attempts.add(new Attempt(kind, caller + "-" + i, id));
        }
        return attempts;
    }

    private static boolean refused(RawHttpMessage answer) {
        return answer.startLine().startsWith("HTTP/1.1 503");
    }

    private static Socket connect(Address gateway) throws IOException {
        Socket socket = new Socket(gateway.ip(), gateway.port());
        socket.setSoTimeout(HANG_MILLIS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static Result tryExchange(Socket socket, Attempt attempt) {
        try {
            return new Result(attempt, Optional.of(exchange(socket, attempt)), Optional.empty());
        } catch (ProtocolException | SocketTimeoutException e) {
            return new Result(attempt, Optional.empty(), Optional.of(e.toString()));
        } catch (IOException e) {
            return new Result(attempt, Optional.empty(), Optional.empty());
        }
    }

    private static RawHttpMessage exchange(Socket socket, Attempt attempt) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        socket.getOutputStream().write(attempt.text().getBytes(StandardCharsets.ISO_8859_1));
        RawHttpMessage answer = RawHttpMessage.read(in);
        int unused = answer.status();
        if (in.available() > 0) {
            throw new ProtocolException("bytes behind the answer to " + attempt);
        }
        return answer;
    }

    private void check(Result result, StutteringReplicas replicas) {
        Attempt attempt = result.attempt;
        String outcome = result.answer
                .map(answer -> answer.startLine().substring(9, 12))
                .orElse(result.protocolError.isPresent() ? "invalid" : "closed");
        countsByOutcome
                .computeIfAbsent(attempt.kind + " " + outcome, first -> new AtomicInteger())
                .incrementAndGet();
        List<StutteringReplicas.Run> runs = replicas.runsOf(attempt.name);
        if (runs.size() > attempt.kind.maxRuns) {
            recordWrong("too many runs", result, runs);
        }
        result.protocolError
                .or(() -> result.answer.flatMap(answer -> fault(attempt, answer, runs)))
                .ifPresent(fault -> recordWrong(fault, result, runs));
    }

    private void recordWrong(String fault, Result result, List<StutteringReplicas.Run> runs) {
        wrongAnswers.add(fault + ": " + result + ", runs " + runs);
        countsByFault.computeIfAbsent(fault, first -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns what is wrong with an answer. */
    private static Optional<String> fault(Attempt attempt, RawHttpMessage answer, List<StutteringReplicas.Run> runs) {
        int status = Integer.parseInt(answer.startLine().substring(9, 12));
        String stamp = answer.header("X-Server-Stamp");
        if (NOT_RUN_STATUSES.contains(status) && !runs.isEmpty()) {
            return Optional.of("stated not to have run, and ran");
        }
        if (stamp.isEmpty()) {
            return status / 100 == 2 ? Optional.of("success without a stamp") : Optional.empty();
        }
        Optional<StutteringReplicas.Run> run = runs.stream()
                .filter(candidate -> candidate.stamp().equals(stamp))
                .findFirst();
        if (run.isEmpty()) {
            return Optional.of("stamp of no run of the attempt");
        }
        if (run.get().status() != status) {
            return Optional.of(status / 100 == 2 ? "success for an error" : "another status than that of the run");
        }
        if (!run.get().body().equals(answer.body())) {
            return Optional.of("another body than that of the run");
        }
        boolean sameHead = answer.header("X-Request-Id").equals(attempt.id)
                && answer.header("Content-Type").equals(StutteringReplicas.CONTENT_TYPE);
        return sameHead ? Optional.empty() : Optional.of("another id or content type");
    }
}
