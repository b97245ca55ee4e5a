package org.wagtailcart.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailcart.common.Address;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptQuery;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStarted;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.sidecar.message.SidecarMessages;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.Exchange;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerServer;
import org.wagtailcart.wire.WireOptions;

/** Fake sidecar and upstream behind a real peer server; the next script, if any, handles each attempt. */
final class FakeSidecar implements AutoCloseable {
    static final int TOKENS = 12;
    static final MessageCodec CODEC = new MessageCodec(List.of(SidecarMessages.TYPES));
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Handles one attempt. */
    interface Script {
        void run(AttemptRequest request, Exchange exchange);
    }

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final IoLoop loop = new IoLoop("fake-sidecar");
    private final PeerServer server;
    final Address address;
    final Queue<Script> scripts = new ConcurrentLinkedQueue<>();
    final Queue<AttemptRequest> received = new ConcurrentLinkedQueue<>();
    final Map<String, AttemptStatus> ledger = new ConcurrentHashMap<>();
    final AtomicInteger runs = new AtomicInteger();
    final CountDownLatch cancelled = new CountDownLatch(1);

    FakeSidecar() {
        address = TestAddresses.free();
        server = new PeerServer(
                loop, address, CODEC, this::handle, executor, WireOptions.standard(), new MetricRegistry());
        server.start();
    }

    private void handle(Exchange exchange, Object message) {
        if (message instanceof AttemptQuery query) {
            AttemptStatus notSent = new AttemptStatus(AttemptStatus.State.NOT_SENT, null);
            AttemptStatus earlier = ledger.putIfAbsent(query.attemptId(), notSent);
            exchange.finish(earlier == null ? notSent : earlier);
            return;
        }
        AttemptRequest request = (AttemptRequest) message;
        received.add(request);
        exchange.onCancel(cancelled::countDown);
        Script script = scripts.poll();
        (script == null ? (Script) this::respond : script).run(request, exchange);
    }

    /** Responds as a healthy engine or service. */
    void respond(AttemptRequest request, Exchange exchange) {
        if (request.nonIdempotent()) {
            byte[] body = ("booked " + runs.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
            RecordedResponse response = new RecordedResponse(201, List.of("X-Kept", "yes"), body, true);
            ledger.put(request.attemptId(), new AttemptStatus(AttemptStatus.State.DONE, response));
            sendResponse(request, exchange, 201, body);
        } else if (json(request).path("stream").asBoolean()) {
            sendTokens(request, exchange, TOKENS);
            sendEnd(request, exchange);
        } else {
            sendResponse(request, exchange, 200, request.body());
        }
    }

    static void sendResponse(AttemptRequest request, Exchange exchange, int status, byte[] body) {
        exchange.send(new AttemptStarted(request.attemptId(), status, List.of("X-Kept", "yes")));
        exchange.send(new AttemptChunk(request.attemptId(), 0, body));
        exchange.finish(new AttemptEnd(request.attemptId(), 1, body.length, 0, 0));
    }

    /** Sends the status, then the tokens from the resume position up to the given index, exclusive. */
    static void sendTokens(AttemptRequest request, Exchange exchange, int until) {
        exchange.send(new AttemptStarted(request.attemptId(), 200, List.of("Content-Type", "text/event-stream")));
        for (int i = resumeFrom(request); i < until; i++) {
            exchange.send(token(request, i, i));
        }
    }

    static AttemptChunk token(AttemptRequest request, int sequenceFromStart, int index) {
        return new AttemptChunk(
                request.attemptId(), sequenceFromStart - resumeFrom(request), tokenBytes(request, index));
    }

    static byte[] tokenBytes(AttemptRequest request, int index) {
        return tokenText(request, index).getBytes(StandardCharsets.UTF_8);
    }

    static String tokenText(AttemptRequest request, int index) {
        return "id: " + index + "\ndata: {\"id\":\"" + request.attemptId()
                + "\",\"choices\":[{\"delta\":{\"content\":\"t" + index + "\"},\"finish_reason\":null}]}\n\n";
    }

    static byte[] lastBytes(AttemptRequest request) {
        return ("data: {\"id\":\"" + request.attemptId()
                        + "\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{}}\n\ndata: [DONE]\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Sends the finish event, [DONE] and the end marker of a stream. */
    static void sendEnd(AttemptRequest request, Exchange exchange) {
        int chunks = TOKENS - resumeFrom(request);
        exchange.send(new AttemptChunk(request.attemptId(), chunks, lastBytes(request)));
        exchange.finish(new AttemptEnd(request.attemptId(), chunks + 1, sizeOf(request), 0, 0));
    }

    static long sizeOf(AttemptRequest request) {
        long size = lastBytes(request).length;
        for (int i = resumeFrom(request); i < TOKENS; i++) {
            size += tokenBytes(request, i).length;
        }
        return size;
    }

    static int resumeFrom(AttemptRequest request) {
        return json(request).path("resume_from").asInt(0);
    }

    static JsonNode json(AttemptRequest request) {
        try {
            return MAPPER.readTree(request.body());
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    @Override
    public void close() {
        server.close();
        loop.close();
        executor.shutdownNow();
    }
}
