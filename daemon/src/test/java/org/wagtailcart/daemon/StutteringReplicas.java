package org.wagtailcart.daemon;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;

/**
 * Stand-in replicas of a plain service that now and then write an earlier response of a connection once more, whole or
 * cut. They record which attempts of callers ran and how each run was answered.
 */
final class StutteringReplicas implements AutoCloseable {
    static final String SERVICE = "stock";
    static final String HEALTH_PATH = "/health";
    /** Header field that identifies an attempt of a caller, also if several bear the same id. */
    static final String ATTEMPT = "X-Attempt";

    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable";
    /** Status lines of answers, each as often as it is listed. */
    private static final List<String> STATUS_LINES = List.of(
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 404 Not Found",
            "HTTP/1.1 404 Not Found",
            "HTTP/1.1 500 Internal Server Error",
            REFUSAL);

    static final String CONTENT_TYPE = "text/plain";

    private static final double LATE_COPY_PROBABILITY = 0.12;
    private static final double OTHER_STATUS_PROBABILITY = 0.25;
    private static final int MAX_WORK_MILLIS = 12;
    private static final int MAX_IDLE_MILLIS = 20;
    private static final int MAX_PADDING = 300;

    private final long seed;
    private final List<Replica> replicas;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger stamps = new AtomicInteger();
    private final Map<String, List<Run>> runsByAttempt = new ConcurrentHashMap<>();
    private final Map<LateCopy, AtomicInteger> lateCopies = Arrays.stream(LateCopy.values())
            .collect(Collectors.toMap(
                    copy -> copy, copy -> new AtomicInteger(), (a, b) -> a, () -> new EnumMap<>(LateCopy.class)));

    /** Run of an attempt and its answer. */
    record Run(String stamp, String attempt, int status, String body) {}

    /** Address at which a replica listens. */
    private record Replica(String id, Address address, ServerSocket listener) {}

    /** Response that was written to a connection. */
    private record Sent(String statusLine, String rest) {
        String text() {
            return statusLine + rest;
        }
    }

    /** Place of the late copy and its length. */
    enum LateCopy {
        WHOLE_WHILE_IDLE,
        PART_WHILE_IDLE,
        WHOLE_IN_FRONT,
        PART_IN_FRONT,
        HEAD_PART_IN_FRONT,
        WHOLE_BEHIND,
        PART_BEHIND;

        private boolean whileIdle() {
            return this == WHOLE_WHILE_IDLE || this == PART_WHILE_IDLE;
        }

        private boolean behind() {
            return this == WHOLE_BEHIND || this == PART_BEHIND;
        }

        /** Returns the copy of an earlier response. */
        private String text(Sent earlier, Random random) {
            String text = earlier.text();
            return switch (this) {
                case WHOLE_WHILE_IDLE, WHOLE_IN_FRONT, WHOLE_BEHIND -> text;
                case PART_WHILE_IDLE, PART_IN_FRONT, PART_BEHIND -> text.substring(0, random.nextInt(text.length()));
                case HEAD_PART_IN_FRONT -> text.substring(0, random.nextInt(text.indexOf("X-Request-Id")));
            };
        }
    }

    StutteringReplicas(long seed, int count) {
        this.seed = seed;
        this.replicas = IntStream.range(0, count)
                .mapToObj(index -> listen(index, TestAddresses.free()))
                .toList();
    }

    /** Starts to accept connections. */
    void start() {
        IntStream.range(0, replicas.size())
                .forEach(index -> threads.execute(() -> accept(replicas.get(index), seed * 1_000 + index)));
    }

    /** Returns the page of the host list that names all replicas. */
    String hostListPage() {
        return replicas.stream()
                .map(replica ->
                        """
                        {"id":"%s","service":"%s","address":"%s","zone":"fes","version":"v1","slots":16,\
                        "state":"ready","cold_left_ms":0}"""
                                .formatted(replica.id, SERVICE, replica.address))
                .collect(Collectors.joining(",", "{\"instances\":[", "],\"next\":null}"));
    }

    List<Run> runsOf(String attempt) {
        return runsByAttempt.getOrDefault(attempt, List.of());
    }

    int runs() {
        return runsByAttempt.values().stream().mapToInt(List::size).sum();
    }

    /** Returns how many late copies of each kind were written. */
    Map<LateCopy, AtomicInteger> lateCopies() {
        return lateCopies;
    }

    @Override
    public void close() {
        replicas.forEach(replica -> closeQuietly(replica.listener));
        sockets.forEach(StutteringReplicas::closeQuietly);
        threads.shutdownNow();
    }

    private static Replica listen(int index, Address address) {
        try {
            ServerSocket listener = new ServerSocket(address.port(), 100, InetAddress.getByName(address.ip()));
            return new Replica("i-" + index, address, listener);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept(Replica replica, long replicaSeed) {
        Random seeds = new Random(replicaSeed);
        try {
            while (!replica.listener.isClosed()) {
                Socket socket = replica.listener.accept();
                sockets.add(socket);
                Random random = new Random(seeds.nextLong());
                threads.execute(() -> serve(replica, socket, random));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Replica replica, Socket socket, Random random) {
        List<Sent> earlier = new ArrayList<>();
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Optional<LateCopy> copy = chooseLateCopy(earlier, random);
                if (copy.isPresent() && copy.get().whileIdle() && awaitsRequest(socket, in, random)) {
                    write(out, lateText(copy.get(), earlier, random));
                }
                RawHttpMessage request = RawHttpMessage.read(in);
                if (request.path().equals(HEALTH_PATH)) {
                    write(out, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + replica.id + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                Sent response = run(request, random);
                String late = copy.filter(chosen -> !chosen.whileIdle())
                        .map(chosen -> lateText(chosen, earlier, random))
                        .orElse("");
                boolean behind = copy.filter(LateCopy::behind).isPresent();
                write(out, behind ? response.text() + late : late + response.text());
                earlier.add(response);
            }
        } catch (IOException e) {
            // The gateway closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /**
     * Chooses whether to write a late copy, of the kind that was written least: a gateway that finds a late copy uses no
     * kept connection to that replica for a while, so that few more follow there.
     */
    private Optional<LateCopy> chooseLateCopy(List<Sent> earlier, Random random) {
        if (earlier.isEmpty() || random.nextDouble() >= LATE_COPY_PROBABILITY) {
            return Optional.empty();
        }
        return Arrays.stream(LateCopy.values())
                .min(Comparator.comparingInt(kind -> lateCopies.get(kind).get()));
    }

    /** Waits for a random time for the next request; returns whether none came. */
    private static boolean awaitsRequest(Socket socket, InputStream in, Random random) throws IOException {
        socket.setSoTimeout(1 + random.nextInt(MAX_IDLE_MILLIS));
        in.mark(1);
        try {
            int unused = in.read();
            in.reset();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    /** Returns the copy of an earlier response, mostly of one of the latest, with its own or another status. */
    private String lateText(LateCopy copy, List<Sent> earlier, Random random) {
        int age = random.nextBoolean() ? 1 : 1 + random.nextInt(earlier.size());
        Sent sent = earlier.get(earlier.size() - age);
        String statusLine = random.nextDouble() < OTHER_STATUS_PROBABILITY
                ? STATUS_LINES.get(random.nextInt(STATUS_LINES.size()))
                : sent.statusLine;
        lateCopies.get(copy).incrementAndGet();
        return copy.text(new Sent(statusLine, sent.rest), random);
    }

    /** Runs a request, or refuses it, and returns the response. */
    private Sent run(RawHttpMessage request, Random random) {
        String statusLine = STATUS_LINES.get(random.nextInt(STATUS_LINES.size()));
        boolean refused = statusLine.equals(REFUSAL);
        String stamp = "s%d.%08x".formatted(stamps.incrementAndGet(), random.nextInt());
        String attempt = request.header(ATTEMPT);
        String body = refused ? "" : stamp + " for " + attempt + " " + "x".repeat(random.nextInt(MAX_PADDING));
        if (!refused) {
            Run run = new Run(stamp, attempt, Integer.parseInt(statusLine.substring(9, 12)), body);
            runsByAttempt
                    .computeIfAbsent(attempt, first -> new CopyOnWriteArrayList<>())
                    .add(run);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(MAX_WORK_MILLIS)));
        }
        return new Sent(
                statusLine,
                "\r\nContent-Type: " + CONTENT_TYPE + "\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\n"
                        + (refused ? "X-Not-Executed: 1\r\n" : "X-Server-Stamp: " + stamp + "\r\n")
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
