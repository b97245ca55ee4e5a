package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wagtailcart.common.Address;
import org.wagtailcart.control.client.ControlClientImpl;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;
import org.wagtailcart.settings.SettingsIni;
import org.wagtailcart.settings.SettingsTree;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.WireOptions;

/** Test fixture that runs a fleet of real processes on loopback, with stand-ins for engines and services. */
final class ProcessFleet implements AutoCloseable {
    static final String MODEL = "repair-assistant";
    private static final long WAIT_LIMIT_MILLIS = 90_000;

    private final Path folder;
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, Address> addresses = new LinkedHashMap<>();
    private final List<String> controlMembers;
    private final Optional<Address> hostList;
    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(10))
            .build();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final IoLoop loop = new IoLoop("fleet-io");
    private final PeerClient peers =
            new PeerClient(loop, ProcessModule.codec(), timer, WireOptions.standard(), new MetricRegistry());

    /** Creates a fleet and starts its control members, without settings. */
    ProcessFleet(Path folder, int controlCount) {
        this(folder, controlCount, Optional.empty());
    }

    /** Creates a fleet whose gateways and control members use a platform with the given host list. */
    ProcessFleet(Path folder, int controlCount, Optional<Address> hostList) {
        this.folder = folder;
        this.hostList = hostList;
        this.controlMembers = IntStream.rangeClosed(1, controlCount)
                .mapToObj(i -> "control-" + i)
                .toList();
        controlMembers.forEach(name -> address(name + ".peer"));
        write("operator.token", "test-token\n");
        controlMembers.forEach(name -> startDaemon(name, "control"));
    }

    /** Returns the address of a listener, which is allocated on first use. */
    Address address(String name) {
        return addresses.computeIfAbsent(name, unused -> TestAddresses.free());
    }

    ChildProcess process(String name) {
        return processes.get(name);
    }

    /** Starts or restarts a daemon that has one role. */
    ChildProcess startDaemon(String name, String role) {
        write(name + ".ini", settingsText(name, role));
        return start(name, "org.wagtailcart.daemon.Main", List.of("--settings", name + ".ini"));
    }

    /** Starts a stand-in engine with additional command-line arguments. */
    ChildProcess startEngine(String name, String... arguments) {
        List<String> all = new ArrayList<>(List.of(
                "engine", "--listen", address(name).toString(), "--model", MODEL, "--fast", "--change-millis", "800"));
        all.addAll(List.of(arguments));
        return start(name, "org.wagtailcart.standin.Standin", all);
    }

    /** Starts a stand-in service with additional command-line arguments. */
    ChildProcess startService(String name, String... arguments) {
        List<String> all =
                new ArrayList<>(List.of("service", "--listen", address(name).toString()));
        all.addAll(List.of(arguments));
        return start(name, "org.wagtailcart.standin.Standin", all);
    }

    /** Starts a relay in front of a stand-in; in the settings tree the upstream then has the address of the relay. */
    ChildProcess startRelay(String name, String target) {
        return start(
                name + ".relay",
                "org.wagtailcart.standin.Standin",
                List.of(
                        "relay",
                        "--listen",
                        address(name).toString(),
                        "--target",
                        address(target).toString(),
                        "--control",
                        address(name + ".relay-control").toString()));
    }

    /** Sets which traffic a relay drops. */
    void setRelayMode(String name, String mode) {
        send(HttpRequest.newBuilder(uri(address(name + ".relay-control"), "/"))
                .POST(HttpRequest.BodyPublishers.ofString(mode))
                .build());
    }

    /** Sends a request with the operator token to a process; a POST when it has a body. */
    HttpResponse<String> sendOperatorRequest(String process, String path, Optional<String> body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(address(process + ".operator"), path))
                .timeout(Duration.ofSeconds(10))
                .header("Authorization", "Bearer test-token");
        return send(body.map(text -> request.POST(HttpRequest.BodyPublishers.ofString(text)))
                .orElseGet(request::GET)
                .build());
    }

    /** Returns the settings revision that a process reports in its dump, -1 when there is none. */
    long revisionOf(String process) {
        return parseJson(sendOperatorRequest(process, "/v1/dump", Optional.empty())
                        .body())
                .findPath("revision")
                .asLong(-1);
    }

    Path folder() {
        return folder;
    }

    /** Starts an engine for each sidecar, two services, the sidecars and two entries, and waits until all serve. */
    void startAll(List<String> sidecars, String... serviceArguments) {
        sidecars.forEach(sidecar -> startEngine("engine-" + suffix(sidecar)));
        sidecars.stream().limit(2).forEach(sidecar -> startService("stock-" + suffix(sidecar), serviceArguments));
        startSidecarsAndEntries(sidecars);
    }

    /** Applies the settings tree, starts sidecars and entries for running upstreams and waits until all serve. */
    void startSidecarsAndEntries(List<String> sidecars) {
        applySettings(settingsTree(sidecars), 0);
        sidecars.forEach(name -> startDaemon(name, "sidecar"));
        startDaemon("entry-1", "entry");
        startDaemon("entry-2", "entry");
        awaitServing("entry-1");
        awaitServing("entry-2");
        await("a service", () -> sendBooking("entry-1", "warm-up", "wheel").statusCode() < 300);
    }

    /** Runs streams through both entries, runs a change meanwhile and asserts that each stream is complete. */
    void assertStreamsComplete(String name, int streams, int tokens, Runnable change) {
        ExecutorService callers = Executors.newFixedThreadPool(streams);
        try {
            List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, streams)
                    .mapToObj(i -> CompletableFuture.supplyAsync(
                            () -> sendCompletion("entry-" + (1 + i % 2), name + " prompt " + i, tokens, true), callers))
                    .toList();
            CompletableFuture.runAsync(change, CompletableFuture.delayedExecutor(400, TimeUnit.MILLISECONDS))
                    .join();
            responses.forEach(response -> assertComplete(response.join(), tokens));
        } finally {
            callers.shutdownNow();
        }
    }

    /** Asserts that a stream has its end marker and every token exactly once, in order. */
    private void assertComplete(HttpResponse<String> response, int tokens) {
        String body = response.body();
        String context = response.statusCode() + " " + body.substring(Math.max(0, body.length() - 400)) + logs();
        assertWithMessage(context).that(response.statusCode()).isEqualTo(200);
        assertWithMessage(context).that(body).contains("data: [DONE]");
        List<Integer> indices = body.lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> Integer.valueOf(line.substring(4)))
                .toList();
        assertWithMessage(context)
                .that(indices)
                .containsExactlyElementsIn(IntStream.range(0, tokens).boxed().toList())
                .inOrder();
    }

    /** Submits a command to the control group and returns its result. */
    <T> T submit(Object command, Class<T> resultType) {
        List<Address> members =
                controlMembers.stream().map(name -> address(name + ".peer")).toList();
        try {
            return new ControlClientImpl(peers, ProcessModule.codec(), members, timer)
                    .submit(command, resultType, 60_000)
                    .join();
        } catch (CompletionException e) {
            throw new AssertionError(command + " failed\n" + logs(), e);
        }
    }

    /** Returns the control member that reports itself as leader. */
    String leader() {
        String[] leader = new String[1];
        await("a leader", () -> {
            leader[0] = controlMembers.stream()
                    .filter(name -> processes.get(name).isAlive() && isLeader(name))
                    .findFirst()
                    .orElseThrow();
            return true;
        });
        return leader[0];
    }

    List<String> controlMembers() {
        return controlMembers;
    }

    private boolean isLeader(String control) {
        try {
            return parseJson(sendOperatorRequest(control, "/v1/status", Optional.empty())
                            .body())
                    .path("role")
                    .asText()
                    .equals("leader");
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    /** Applies settings in the operators' INI format and returns the new revision. */
    long applySettings(String ini, long expectedRevision) {
        ApplySettings change = new ApplySettings(
                UUID.randomUUID().toString(),
                "test",
                expectedRevision,
                SettingsIni.toEdits(SettingsTree.EMPTY, ini, false));
        ApplySettingsResult result = submit(change, ApplySettingsResult.class);
        if (result.codeNumber() != 0) {
            throw new AssertionError(result.toString());
        }
        return result.revision();
    }

    /** Returns a settings tree with one engine per sidecar, and one service on each of the first two sidecars. */
    String settingsTree(List<String> sidecars) {
        String engines = sidecars.stream()
                .map(sidecar -> upstreamSection("/upstreams/assistant/", "engine-" + suffix(sidecar), sidecar))
                .collect(Collectors.joining());
        String services = sidecars.stream()
                .limit(2)
                .map(sidecar -> upstreamSection("/upstreams/stock/", "stock-" + suffix(sidecar), sidecar))
                .collect(Collectors.joining());
        return """
                [/]
                deadline-millis = 60000
                drain-limit-millis = 20000
                queue-limit = 200
                [/upstreams]
                max-in-flight = 16
                soft-max-in-flight = 8
                [/upstreams/assistant]
                kind = engine
                model = %s
                version = 1
                role = mixed
                fencing = checked
                [/upstreams/stock]
                kind = service
                service = parts-stock
                non-idempotent = POST /bookings
                """
                        .formatted(MODEL)
                + engines
                + services;
    }

    /** Waits until an entry is ready and completes a prompt. */
    void awaitServing(String entry) {
        await(entry + " to be ready", () -> get(entry, "/readyz").statusCode() == 200);
        await(
                entry + " to serve",
                () -> sendCompletion(entry, "ready?", 1, false).statusCode() == 200);
    }

    HttpResponse<String> get(String entry, String path) {
        return send(callerRequest(entry, path).GET().build());
    }

    /** Sends a routing table to the first control member until it is accepted. */
    void replaceRoutes(String json) {
        HttpRequest request = HttpRequest.newBuilder(
                        uri(address(controlMembers.get(0) + ".config"), "/api/config/replace"))
                .timeout(Duration.ofSeconds(10))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        await("the routing table to be accepted", () -> send(request).statusCode() == 200);
    }

    /** Waits until a gateway is ready. */
    void awaitReady(String gateway) {
        HttpRequest request = HttpRequest.newBuilder(uri(address(gateway + ".ready"), "/api/ready"))
                .timeout(Duration.ofSeconds(10))
                .build();
        await(gateway + " to be ready", () -> send(request).statusCode() == 200);
    }

    /** Sends a completion request and returns the response. */
    HttpResponse<String> sendCompletion(String entry, String prompt, int maxTokens, boolean stream) {
        String body = "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"prompt\":\"%s\"}"
                .formatted(MODEL, stream, maxTokens, prompt);
        return send(callerRequest(entry, "/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    /** Sends a booking with an idempotency key and returns the response. */
    HttpResponse<String> sendBooking(String entry, String key, String part) {
        return send(callerRequest(entry, "/services/parts-stock/bookings")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"part\":\"" + part + "\"}"))
                .build());
    }

    /** Returns how many times the call of a key ran, summed over the given services. */
    int runCount(String key, List<String> services) {
        return services.stream()
                .map(name -> send(HttpRequest.newBuilder(uri(address(name), "/standin/runs"))
                                .GET()
                                .build())
                        .body())
                .mapToInt(body -> parseJson(body).findPath(key).asInt(0))
                .sum();
    }

    /** Injects a fault into a stand-in. */
    void injectFault(String standin, String json) {
        HttpResponse<String> response = send(HttpRequest.newBuilder(uri(address(standin), "/standin/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build());
        if (response.statusCode() >= 300) {
            throw new AssertionError(response.body());
        }
    }

    JsonNode parseJson(String body) {
        try {
            return mapper.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request; throws {@link UncheckedIOException} on a connection failure, which {@link #await} retries. */
    HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    HttpRequest.Builder callerRequest(String process, String path) {
        return HttpRequest.newBuilder(uri(address(process + ".caller"), path))
                .timeout(Duration.ofSeconds(90))
                .header("Content-Type", "application/json");
    }

    /** Waits until a condition holds; an exception counts as false. */
    void await(String description, BooleanSupplier condition) {
        long deadlineMillis = System.nanoTime() / 1_000_000 + WAIT_LIMIT_MILLIS;
        while (!evaluate(condition)) {
            if (System.nanoTime() / 1_000_000 > deadlineMillis) {
                throw new AssertionError("timed out waiting for " + description + "\n" + logs());
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }

    String logs() {
        return processes.values().stream()
                .map(process -> "--- " + process.name() + (process.isAlive() ? "" : " (exited)") + "\n"
                        + tail(process.readLog()))
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() {
        processes.values().stream().filter(ChildProcess::isAlive).forEach(ChildProcess::resume);
        processes.values().stream().filter(ChildProcess::isAlive).forEach(ChildProcess::kill);
        peers.close();
        loop.close();
        timer.shutdownNow();
    }

    private static boolean evaluate(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (RuntimeException e) {
            return false;
        }
    }

    private ChildProcess start(String name, String mainClass, List<String> arguments) {
        ChildProcess process = ChildProcess.start(name, folder, mainClass, arguments);
        processes.put(name, process);
        return process;
    }

    private String settingsText(String name, String role) {
        String members = controlMembers.stream()
                .map(control -> control + "@" + address(control + ".peer"))
                .collect(Collectors.joining(", "));
        String listeners = "peer = " + address(name + ".peer") + "\noperator = " + address(name + ".operator") + "\n";
        return "[process]\nid = " + name + "\nhost = host-" + name + "\nfailure-domain = fes\nroles = " + role + "\n"
                + (role.equals("control") ? "data-folder = data-" + name + "\n" : "")
                + "[listen]\n" + listeners
                + (role.equals("entry") || role.equals("gateway") ? "caller = " + address(name + ".caller") + "\n" : "")
                + (role.equals("gateway") ? "ready = " + address(name + ".ready") + "\n" : "")
                + "[control]\nmembers = " + members + "\n[operator]\ntoken-file = operator.token\n"
                + hostList.map(list -> platformSection(name, role, list)).orElse("");
    }

    private String platformSection(String name, String role, Address list) {
        return "[platform]\nhost-list = " + list + "\n"
                + (role.equals("control") ? "control-listener = " + address(name + ".config") + "\n" : "")
                + (role.equals("gateway") ? "[retry]\nratio = 0.2\nreserve = 50\n" : "");
    }

    private String upstreamSection(String branch, String name, String sidecar) {
        return "[" + branch + name + "]\naddress = " + address(name) + "\nsidecar = " + sidecar + "\nsidecar-address = "
                + address(sidecar + ".peer") + "\nhost = host-" + sidecar + "\nfailure-domain = fes\n";
    }

    private void write(String file, String text) {
        try {
            Files.writeString(folder.resolve(file), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String suffix(String name) {
        return name.substring(name.lastIndexOf('-') + 1);
    }

    private static String tail(String log) {
        return log.substring(Math.max(0, log.length() - 4_000));
    }

    private static URI uri(Address address, String path) {
        return URI.create("http://" + address + path);
    }
}
