package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.testing.RawServer;

/**
 * Guards against callers that receive the events of a stream out of order, more than once, not at all or from two
 * software versions, and against a stream that looks complete before its last event. Replicas cut many responses, callers
 * resume streams at any gateway, and gateways are killed. Control members and gateways are real processes.
 *
 * <p>More seeds by hand: {@code -Dwagtailcart.stream-order.seeds=20 -Dwagtailcart.stream-order.first-seed=1}.
 */
class StreamOrderFaultTest {
    private static final long SEEDS = Long.getLong("wagtailcart.stream-order.seeds", 1);
    private static final long FIRST_SEED = Long.getLong("wagtailcart.stream-order.first-seed", 1);
    private static final List<String> GATEWAYS = List.of("gateway-1", "gateway-2", "gateway-3");
    private static final String HOST = "feed.example";
    private static final int REPLICAS = 6;
    private static final int CALLERS = 16;
    private static final int HALF_RUN_MILLIS = 3_000;
    /** Time in which a caller wants a whole stream, and the timeout of the route. */
    private static final int STREAM_MILLIS = 5_000;
    /** Time beyond the deadline after which a caller leaves a response that does not end. */
    private static final int MAX_DELAY_MILLIS = 2_000;

    private static final Set<String> ERROR_STATUSES = Set.of("502", "503", "504");
    private static final Pattern EVENT =
            Pattern.compile("id: (?<id>[0-9]{1,9})\ndata: (?<version>v[12]) (?<stream>\\S+) \\k<id>\n\n");
    private static final int MAX_SHOWN = 20;

    private static final int MIN_STREAMS = 200;
    private static final int MIN_STREAMS_OF_VERSION = 30;
    private static final int MIN_RESUMPTIONS = 50;
    private static final int MIN_CUTS = 100;
    private static final int MIN_FAULTS = 10;
    private static final int MIN_RESUMED_AFTER_KILL = 2;

    private enum Scenario {
        ONE_VERSION(StreamReplicas.Fault.NONE, List.of("v1"), false),
        ONE_VERSION_IGNORES_LAST_EVENT_ID(StreamReplicas.Fault.IGNORES_LAST_EVENT_ID, List.of("v1"), false),
        ONE_VERSION_OMITS_NEXT_EVENT(StreamReplicas.Fault.OMITS_NEXT_EVENT, List.of("v1"), false),
        TWO_VERSIONS(StreamReplicas.Fault.NONE, List.of("v1", "v2"), false),
        TWO_VERSIONS_GATEWAYS_KILLED(StreamReplicas.Fault.NONE, List.of("v1", "v2"), true),
        OLD_VERSION_LEAVES_THEN_GATEWAYS_KILLED(StreamReplicas.Fault.NONE, List.of("v1", "v2"), true) {
            @Override
            void prepareKill(StreamReplicas replicas) throws IOException {
                replicas.stopVersion("v1");
                pause(100);
            }
        },
        ONE_VERSION_GATEWAYS_KILLED(StreamReplicas.Fault.NONE, List.of("v1"), true);

        private final StreamReplicas.Fault fault;
        private final List<String> versions;
        private final boolean killsGateways;

        Scenario(StreamReplicas.Fault fault, List<String> versions, boolean killsGateways) {
            this.fault = fault;
            this.versions = versions;
            this.killsGateways = killsGateways;
        }

        /** Returns how long callers go on after half time: if gateways are killed, until all earlier streams have ended. */
        int secondHalfMillis() {
            return killsGateways ? STREAM_MILLIS : HALF_RUN_MILLIS;
        }

        /** Runs shortly before the gateways are killed. */
        void prepareKill(StreamReplicas replicas) throws IOException {}
    }

    private enum Count {
        STREAMS,
        BEGUN_STREAMS,
        NEW_ATTEMPTS,
        /** Attempts that resume a stream. */
        RESUMPTIONS,
        /** Resumptions that delivered an event or the end of the stream. */
        CONTINUED_RESUMPTIONS,
        /** Streams begun before the gateways were killed for which a restarted gateway got a resumption. */
        RESUMED_AFTER_KILL,
        REPEATED_EVENTS,
        MISSING_EVENTS,
        /** Events without a number, of another stream or within which a response ended as complete. */
        INVALID_EVENTS,
        /** Responses that ended as complete before the last event. */
        EARLY_ENDS,
        /** Streams that changed their version within a response. */
        JOINED_IN_RESPONSE,
        /** Streams that changed their version between two responses. */
        JOINED_AT_RESUMPTION
    }

    /** What ended an attempt. */
    private enum AttemptEnd {
        COMPLETE,
        BROKEN_OFF,
        FAILED
    }

    /** Stream as one caller has received it. */
    private static final class ReceivedStream {
        private final String name;
        private final int events;
        private final long startMillis;
        private final Set<Count> counted = EnumSet.noneOf(Count.class);
        /** Request id of the attempt that delivered the first event, empty before it. */
        private String firstRequestId = "";

        private String version = "";
        private int lastId;
        private int received;

        ReceivedStream(String name, int events, long startMillis) {
            this.name = name;
            this.events = events;
            this.startMillis = startMillis;
        }

        boolean begun() {
            return !firstRequestId.isEmpty();
        }

        String request(String requestId, long remainingMillis) {
            return "GET /feed/" + name + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Deadline-Ms: " + remainingMillis + "\r\n" + StreamReplicas.STREAM + ": " + name + "\r\n"
                    + StreamReplicas.EVENTS + ": " + events + "\r\n"
                    + (begun() ? "Last-Event-Id: " + lastId + "\r\nResumes: " + firstRequestId + "\r\n" : "") + "\r\n";
        }
    }

    private final MillisClock clock = MillisClock.monotonic();
    private final Map<Count, AtomicInteger> counts = Arrays.stream(Count.values())
            .collect(Collectors.toMap(
                    count -> count, count -> new AtomicInteger(), (a, b) -> a, ConcurrentSkipListMap::new));
    private final Map<String, AtomicInteger> countsByOutcome = new ConcurrentSkipListMap<>();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private volatile long killedAtMillis = Long.MAX_VALUE;

    static List<Arguments> runs() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .boxed()
                .flatMap(seed -> Arrays.stream(Scenario.values()).map(scenario -> Arguments.of(scenario, seed)))
                .toList();
    }

    @ParameterizedTest
    @MethodSource("runs")
    void callersGetEachEventOnceAndOfOneVersion(Scenario scenario, long seed, @TempDir Path folder) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try (StreamReplicas replicas = new StreamReplicas(seed, REPLICAS, scenario.fault, scenario.versions);
                ProcessFleet fleet = new ProcessFleet(folder, 3, Optional.of(replicas.hostList()))) {
            GATEWAYS.forEach(gateway -> fleet.startDaemon(gateway, "gateway"));
            fleet.replaceRoutes(routes());
            GATEWAYS.forEach(fleet::awaitReady);
            List<Address> gateways = GATEWAYS.stream()
                    .map(gateway -> fleet.address(gateway + ".caller"))
                    .toList();
            long endMillis = clock.nowMillis() + HALF_RUN_MILLIS + scenario.secondHalfMillis();
            List<CompletableFuture<Void>> callers = IntStream.range(0, CALLERS)
                    .mapToObj(caller -> CompletableFuture.runAsync(
                            () -> runCaller(seed * CALLERS + caller, gateways, endMillis), threads))
                    .toList();
            pause(HALF_RUN_MILLIS);
            if (scenario.killsGateways) {
                scenario.prepareKill(replicas);
                GATEWAYS.forEach(gateway -> fleet.process(gateway).kill());
                killedAtMillis = clock.nowMillis();
                GATEWAYS.forEach(gateway -> fleet.startDaemon(gateway, "gateway"));
            }
            callers.forEach(CompletableFuture::join);
            String summary = "seed " + seed + ", " + scenario + ": cuts " + replicas.cuts() + ", faulty responses "
                    + replicas.faults() + ", counts " + counts + ", outcomes " + countsByOutcome;
            System.out.println(summary);
            assertThatFaultsWerePlayed(summary, scenario, replicas);
            assertWithMessage(summary + "\n" + fleet.logs())
                    .that(faults.stream().limit(MAX_SHOWN).toList())
                    .isEmpty();
            if (scenario == Scenario.TWO_VERSIONS) {
                assertWithMessage(summary + ", share of resumptions that continue")
                        .that(share(Count.CONTINUED_RESUMPTIONS, Count.RESUMPTIONS))
                        .isAtLeast(share(Count.BEGUN_STREAMS, Count.STREAMS) / 2);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Guards the test itself: without enough streams, cuts and resumptions it would show nothing. */
    private void assertThatFaultsWerePlayed(String summary, Scenario scenario, StreamReplicas replicas) {
        assertWithMessage(summary).that(count(Count.BEGUN_STREAMS)).isAtLeast(MIN_STREAMS);
        assertWithMessage(summary).that(count(Count.RESUMPTIONS)).isAtLeast(MIN_RESUMPTIONS);
        assertWithMessage(summary).that(replicas.cuts()).isAtLeast(MIN_CUTS);
        scenario.versions.forEach(version -> assertWithMessage(summary)
                .that(countsByOutcome
                        .getOrDefault("begun " + version, new AtomicInteger())
                        .get())
                .isAtLeast(MIN_STREAMS_OF_VERSION));
        if (scenario.fault != StreamReplicas.Fault.NONE) {
            assertWithMessage(summary).that(replicas.faults()).isAtLeast(MIN_FAULTS);
        }
        if (scenario.killsGateways) {
            assertWithMessage(summary).that(count(Count.RESUMED_AFTER_KILL)).isAtLeast(MIN_RESUMED_AFTER_KILL);
        }
    }

    private double share(Count part, Count whole) {
        return (double) count(part) / count(whole);
    }

    private static String routes() {
        return """
                {"version":1,"routes":[{"name":"r-feed","host":"%s","path_prefix":"/feed/","route_type":"streaming",\
                "timeout_ms":%d,"target_latency_ms":500,"priority":0,"service":"%3$s","max_attempts":3,\
                "resumable":true}],"services":[{"name":"%3$s","health_path":"/health","max_conns":400}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}"""
                .formatted(HOST, STREAM_MILLIS, StreamReplicas.SERVICE);
    }

    /** Requests streams one after another. */
    private void runCaller(long caller, List<Address> gateways, long endMillis) {
        SplittableRandom random = new SplittableRandom(caller);
        for (int i = 0; clock.nowMillis() < endMillis; i++) {
            ReceivedStream stream =
                    new ReceivedStream("s" + caller + "." + i, 8 + random.nextInt(13), clock.nowMillis());
            count(stream, Count.STREAMS);
            receive(stream, gateways, Math.min(endMillis, stream.startMillis + STREAM_MILLIS), random);
        }
    }

    /** Sends attempts for a stream until it is complete or its time is over. */
    private void receive(ReceivedStream stream, List<Address> gateways, long endMillis, SplittableRandom random) {
        AttemptEnd end = AttemptEnd.FAILED;
        for (int i = 0; end != AttemptEnd.COMPLETE && clock.nowMillis() < endMillis; i++) {
            end = attempt(stream, gateways.get(random.nextInt(gateways.size())), stream.name + "." + i);
            if (end == AttemptEnd.FAILED) {
                pause(20 + random.nextInt(31));
            }
        }
    }

    private AttemptEnd attempt(ReceivedStream stream, Address gateway, String requestId) {
        boolean resumes = stream.begun();
        int receivedBefore = stream.received;
        counts.get(resumes ? Count.RESUMPTIONS : Count.NEW_ATTEMPTS).incrementAndGet();
        String status = "closed";
        AttemptEnd end = AttemptEnd.FAILED;
        try (Socket socket = new Socket(gateway.ip(), gateway.port())) {
            int remainingMillis = (int) Math.max(1, stream.startMillis + STREAM_MILLIS - clock.nowMillis());
            socket.setSoTimeout(remainingMillis + MAX_DELAY_MILLIS);
            String request = stream.request(requestId, remainingMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = readHead(in, resumes, stream);
            status = status(head);
            if (status.equals("200")) {
                end = AttemptEnd.BROKEN_OFF;
                readEvents(in, head, stream, requestId);
                end = AttemptEnd.COMPLETE;
            }
        } catch (IOException e) {
            // The gateway was killed, or the response broke off.
        }
        if (end == AttemptEnd.COMPLETE && stream.lastId < stream.events) {
            recordFault(Count.EARLY_ENDS, stream, requestId, "response ended after event " + stream.lastId);
        }
        if (resumes && (end == AttemptEnd.COMPLETE || stream.received > receivedBefore)) {
            counts.get(Count.CONTINUED_RESUMPTIONS).incrementAndGet();
        }
        countOutcome((resumes ? "resumed " : "new ") + status + " " + end);
        return end;
    }

    private static String status(String head) {
        return head.substring(9, 12);
    }

    private String readHead(InputStream in, boolean resumes, ReceivedStream stream) throws IOException {
        String head = RawServer.readHead(in);
        if (head.isEmpty()) {
            throw new EOFException("connection was closed before the head of a response");
        }
        if (!status(head).equals("200") && !ERROR_STATUSES.contains(status(head))) {
            throw new AssertionError("unexpected response: " + head);
        }
        if (resumes && stream.startMillis < killedAtMillis && killedAtMillis <= clock.nowMillis()) {
            count(stream, Count.RESUMED_AFTER_KILL);
        }
        return head;
    }

    /**
     * Reads the events of a body to its end, and checks each.
     *
     * @throws EOFException if the connection ends before the body does
     */
    private void readEvents(InputStream in, String head, ReceivedStream stream, String requestId) throws IOException {
        StringBuilder event = new StringBuilder();
        int receivedBefore = stream.received;
        boolean chunked = RawServer.field(head, "Transfer-Encoding").equals("chunked");
        int length = chunked ? readChunkLength(in) : Integer.parseInt(RawServer.field(head, "Content-Length"));
        while (length > 0) {
            for (int i = 0; i < length; i++) {
                event.append((char) readByte(in));
                if (event.indexOf("\n\n", event.length() - 2) >= 0) {
                    checkEvent(event.toString(), stream, requestId, stream.received > receivedBefore);
                    event.setLength(0);
                }
            }
            if (chunked) {
                in.skipNBytes(2);
            }
            length = chunked ? readChunkLength(in) : 0;
        }
        if (chunked) {
            in.skipNBytes(2);
        }
        if (event.length() > 0) {
            recordFault(Count.INVALID_EVENTS, stream, requestId, "response ended within event " + event);
        }
    }

    private static int readChunkLength(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = readByte(in); next != '\n'; next = readByte(in)) {
            line.append((char) next);
        }
        return Integer.parseInt(line.toString().strip(), 16);
    }

    private static int readByte(InputStream in) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException("connection ended within a body");
        }
        return next;
    }

    private void checkEvent(String event, ReceivedStream stream, String requestId, boolean continuesResponse) {
        stream.received++;
        Matcher fields = EVENT.matcher(event);
        if (!fields.matches() || !fields.group("stream").equals(stream.name)) {
            recordFault(Count.INVALID_EVENTS, stream, requestId, "received " + event);
            return;
        }
        int id = Integer.parseInt(fields.group("id"));
        String version = fields.group("version");
        if (id != stream.lastId + 1) {
            Count count = id <= stream.lastId ? Count.REPEATED_EVENTS : Count.MISSING_EVENTS;
            recordFault(count, stream, requestId, "event " + id + " follows event " + stream.lastId);
        }
        if (stream.begun() && !version.equals(stream.version)) {
            Count count = continuesResponse ? Count.JOINED_IN_RESPONSE : Count.JOINED_AT_RESUMPTION;
            recordFault(count, stream, requestId, "event " + id + " has version " + version);
        }
        if (!stream.begun()) {
            stream.firstRequestId = requestId;
            count(stream, Count.BEGUN_STREAMS);
            countOutcome("begun " + version);
        }
        stream.version = version;
        stream.lastId = id;
    }

    private void recordFault(Count count, ReceivedStream stream, String requestId, String fault) {
        faults.add(count + " in " + stream.name + ", request " + requestId + ": " + fault);
        if (count == Count.JOINED_IN_RESPONSE || count == Count.JOINED_AT_RESUMPTION) {
            count(stream, count);
        } else {
            counts.get(count).incrementAndGet();
        }
    }

    private void countOutcome(String outcome) {
        countsByOutcome.computeIfAbsent(outcome, first -> new AtomicInteger()).incrementAndGet();
    }

    private int count(Count count) {
        return counts.get(count).get();
    }

    /** Counts a stream, at most once for each count. */
    private void count(ReceivedStream stream, Count count) {
        if (stream.counted.add(count)) {
            counts.get(count).incrementAndGet();
        }
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
