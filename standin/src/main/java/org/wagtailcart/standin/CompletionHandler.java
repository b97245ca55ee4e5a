package org.wagtailcart.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Exchanger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.standin.CompletionResponse.Choice;
import org.wagtailcart.standin.CompletionResponse.Content;

/** Handles the completion requests of a stand-in engine and applies the faults injected into it. */
final class CompletionHandler {
    private static final long STALL_MILLIS = 600_000;
    private static final long EVENT_POLL_MILLIS = 1_000;

    /** Request whose tokens a response carries; with {@link FaultKind#CROSS} that of another connection. */
    private record Job(String requestId, boolean chat, CompletionBody body, String prompt, String model) {}

    private final StandinEngine engine;
    private final FaultInjector faults;
    private final Exchanger<Job> responseSwap = new Exchanger<>();

    CompletionHandler(StandinEngine engine, FaultInjector faults) {
        this.engine = engine;
        this.faults = faults;
    }

    void handle(HttpServerExchange exchange, boolean chat) throws IOException, InterruptedException {
        CompletionBody body = Json.read(HttpListener.body(exchange), CompletionBody.class);
        String header = exchange.getRequestHeaders().getFirst(HttpListener.REQUEST_ID);
        String requestId = header == null ? UUID.randomUUID().toString() : header;
        Job job = new Job(requestId, chat, body, body.promptText(), engine.modelFor(body));
        injectBeforeRun(exchange);
        if (!exchange.getConnection().isOpen()) {
            return;
        }
        Optional<Fault> crossed = faults.consume(FaultKind.CROSS);
        Job answered = crossed.isPresent() ? swapResponse(job, crossed.get().delayMillis()) : job;
        Sequence sequence = engine.submit(requestId, body);
        exchange.getResponseHeaders().put(HttpListener.REQUEST_ID, answered.requestId());
        try {
            if (body.stream()) {
                stream(exchange, answered, sequence);
            } else {
                respondUnstreamed(exchange, answered, sequence);
            }
        } finally {
            engine.release(sequence);
        }
    }

    private void injectBeforeRun(HttpServerExchange exchange) throws InterruptedException {
        Optional<Fault> delay = faults.consume(FaultKind.DELAY);
        if (delay.isPresent()) {
            engine.await(delay.get().delayMillis());
        }
        if (faults.consume(FaultKind.SILENT).isPresent()) {
            engine.await(STALL_MILLIS);
            HttpListener.abort(exchange);
        }
        if (faults.consume(FaultKind.RESET_BEFORE).isPresent()) {
            HttpListener.abort(exchange);
        }
    }

    private Job swapResponse(Job own, long limitMillis) throws InterruptedException {
        try {
            return responseSwap.exchange(own, limitMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return new Job("unknown-" + own.requestId(), own.chat(), own.body(), "unknown prompt", own.model());
        }
    }

    private void stream(HttpServerExchange exchange, Job job, Sequence sequence)
            throws IOException, InterruptedException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        Optional<Fault> truncate = faults.consume(FaultKind.TRUNCATE);
        Optional<Fault> duplicate = faults.consume(FaultKind.DUPLICATE);
        Optional<Fault> crash = faults.consume(FaultKind.CRASH);
        Optional<Fault> stall = faults.consume(FaultKind.STALL);
        int written = 0;
        for (int index = nextEvent(sequence); index != Sequence.FINISHED; index = nextEvent(sequence)) {
            if (index == Sequence.ABORTED || triggers(crash, written)) {
                engine.crashIf(index != Sequence.ABORTED);
                HttpListener.abort(exchange);
                return;
            }
            if (triggers(truncate, written)) {
                exchange.endExchange();
                return;
            }
            if (triggers(stall, written)) {
                engine.await(STALL_MILLIS);
            }
            write(out, tokenEvent(job, index));
            if (triggers(duplicate, written)) {
                write(out, tokenEvent(job, index));
            }
            written++;
        }
        write(out, lastEvent(job));
        write(out, "data: [DONE]\n\n");
        exchange.endExchange();
    }

    private static boolean triggers(Optional<Fault> fault, int written) {
        return fault.isPresent() && fault.get().afterTokens() == written;
    }

    private int nextEvent(Sequence sequence) throws InterruptedException {
        Integer index = sequence.events().poll(EVENT_POLL_MILLIS, TimeUnit.MILLISECONDS);
        while (index == null) {
            index = sequence.events().poll(EVENT_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return index;
    }

    private void respondUnstreamed(HttpServerExchange exchange, Job job, Sequence sequence)
            throws IOException, InterruptedException {
        int index = nextEvent(sequence);
        while (index >= 0) {
            index = nextEvent(sequence);
        }
        boolean crash = faults.consume(FaultKind.CRASH).isPresent();
        engine.crashIf(crash);
        if (crash
                || index == Sequence.ABORTED
                || faults.consume(FaultKind.RESET_AFTER).isPresent()) {
            HttpListener.abort(exchange);
            return;
        }
        if (faults.consume(FaultKind.TRUNCATE).isPresent()) {
            sendTruncated(exchange, Json.write(fullResponse(job)));
            return;
        }
        HttpListener.respond(exchange, 200, fullResponse(job));
    }

    private static void sendTruncated(HttpServerExchange exchange, byte[] bytes) throws IOException {
        exchange.setResponseContentLength(bytes.length);
        OutputStream out = exchange.getOutputStream();
        out.write(bytes, 0, bytes.length / 2);
        out.flush();
        HttpListener.abort(exchange);
    }

    private static void write(OutputStream out, String event) throws IOException {
        out.write(event.getBytes(UTF_8));
        out.flush();
    }

    private static String tokenEvent(Job job, int index) {
        String token = Tokens.token(job.prompt(), index);
        Choice choice = job.chat()
                ? new Choice(0, null, null, new Content(null, token), null)
                : new Choice(0, token, null, null, null);
        return "id: " + index + "\ndata: " + text(job, choice, null) + "\n\n";
    }

    private static String lastEvent(Job job) {
        Choice choice = job.chat()
                ? new Choice(0, null, null, new Content(null, ""), "length")
                : new Choice(0, "", null, null, "length");
        return "data: " + text(job, choice, usage(job)) + "\n\n";
    }

    private static String text(Job job, Choice choice, CompletionResponse.@Nullable Usage usage) {
        String object = job.chat() ? "chat.completion.chunk" : "text_completion";
        byte[] json = Json.write(new CompletionResponse(job.requestId(), object, job.model(), List.of(choice), usage));
        return new String(json, UTF_8);
    }

    private static CompletionResponse fullResponse(Job job) {
        String text =
                Tokens.text(job.prompt(), job.body().resumeFrom(), job.body().outputTokens());
        Choice choice = job.chat()
                ? new Choice(0, null, new Content("assistant", text), null, "length")
                : new Choice(0, text, null, null, "length");
        String object = job.chat() ? "chat.completion" : "text_completion";
        return new CompletionResponse(job.requestId(), object, job.model(), List.of(choice), usage(job));
    }

    private static CompletionResponse.Usage usage(Job job) {
        return CompletionResponse.usage(Tokens.count(job.prompt()), job.body().outputTokens());
    }
}
