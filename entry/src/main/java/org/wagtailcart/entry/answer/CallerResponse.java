package org.wagtailcart.entry.answer;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.xnio.Options;

/** HTTP response to a caller, written without blocking. Confined to the I/O thread of the caller's connection. */
public final class CallerResponse {
    /** Bytes that may be queued for a slow caller before its connection is closed. */
    private static final long MAX_QUEUED_BYTES = 8 << 20;

    /**
     * Time within which a caller must receive the rest of an ended response; a stalled caller would delay a shutdown.
     */
    private static final long DELIVERY_TIMEOUT_MILLIS = 30_000;

    /**
     * Time after which a caller that reads nothing is disconnected. Its system reports free space in steps of up to 64 KB,
     * so that a shorter time would cut callers that read slowly.
     */
    private static final long STALL_MILLIS = 10_000;

    /** Bytes handed to the connection at once; the end of each such write shows that the caller reads. */
    private static final int MAX_WRITE_BYTES = 16 << 10;

    private final HttpServerExchange exchange;
    private final ScheduledExecutorService timer;
    private final MillisClock clock;
    private final long stallMillis;
    private final Queue<ByteBuffer> queued = new ArrayDeque<>();
    private final IoCallback callback = new IoCallback() {
        @Override
        public void onComplete(HttpServerExchange done, Sender sender) {
            sending = false;
            lastProgressMillis = clock.nowMillis();
            writeQueued();
            deliveryListener.run();
        }

        @Override
        public void onException(HttpServerExchange done, Sender sender, IOException error) {
            abort();
        }
    };
    private Runnable disconnectAction = () -> {};
    private Runnable deliveryListener = () -> {};
    private long lastProgressMillis;
    private boolean stallCheckScheduled;
    private long queuedBytes;
    private boolean started;
    private boolean sending;
    private boolean ended;
    /** Whether the body of a caller without chunked framing ends with its connection. */
    private boolean endsWithConnection;

    private volatile boolean disconnected;

    /** Creates the response of a dispatched exchange. */
    public CallerResponse(HttpServerExchange exchange, ScheduledExecutorService timer) {
        this(exchange, timer, MillisClock.monotonic(), STALL_MILLIS);
    }

    /**
     * Creates the response of a dispatched exchange.
     *
     * @param stallMillis time after which a caller that reads nothing is disconnected
     */
    public CallerResponse(
            HttpServerExchange exchange, ScheduledExecutorService timer, MillisClock clock, long stallMillis) {
        this.exchange = exchange;
        this.timer = timer;
        this.clock = clock;
        this.stallMillis = stallMillis;
        this.disconnected = exchange.isComplete() || !exchange.getConnection().isOpen();
        DisconnectDetector.watch(exchange, this::abort);
    }

    /** Sets the action that runs once when the caller disconnects before the end of the response. */
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
        if (disconnected) {
            action.run();
        }
    }

    /** Sets the action that runs after each change of {@link #queuedBytes} or of {@link #closed}. */
    public void onDelivery(Runnable action) {
        deliveryListener = action;
    }

    /** Returns the bytes of the body that the connection has not taken yet. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Returns whether the caller has disconnected before the end of the response. May be called on any thread. */
    public boolean disconnected() {
        return disconnected;
    }

    /** Returns whether status and headers were sent. */
    public boolean started() {
        return started;
    }

    /** Returns whether the response has ended or can no longer be delivered. */
    public boolean closed() {
        return ended || disconnected;
    }

    /** Sets a header of the response, unless status and headers were sent. */
    public void setHeader(String name, String value) {
        if (!started) {
            exchange.getResponseHeaders().put(new HttpString(name), value);
        }
    }

    /** Sends status and headers; {@link #write} sends the body, whose end is known by its framing. */
    public void start(int status, List<String> headers) {
        if (closed() || started) {
            return;
        }
        startHead(status, headers);
        frameBody();
    }

    /**
     * Frames a body of unknown length. Without this, the body of a connection that ends with its response has no framing,
     * so that a caller takes an aborted response for a complete one.
     */
    private void frameBody() {
        if (exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)) {
            return;
        }
        if (exchange.isHttp11()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        } else {
            endsWithConnection = true;
        }
    }

    private void startHead(int status, List<String> headers) {
        started = true;
        exchange.setStatusCode(status);
        addHeaders(headers);
        if (!exchange.getResponseHeaders().contains(resultHeader("Result-Code"))) {
            setResultHeaders(ResultCode.OK.number(), SettingNames.of(ResultCode.OK.runState()), true);
        }
    }

    /** Sends a chunk of the body. Closes the connection when too many bytes are queued for the caller. */
    public void write(byte[] bytes) {
        if (closed() || bytes.length == 0) {
            return;
        }
        queued.add(ByteBuffer.wrap(bytes));
        queuedBytes += bytes.length;
        if (queuedBytes > MAX_QUEUED_BYTES) {
            abort();
            return;
        }
        writeQueued();
    }

    /** Marks the response as complete. */
    public void end() {
        if (!closed()) {
            ended = true;
            writeQueued();
        }
        if (!disconnected && !exchange.isComplete()) {
            startDeliveryTimeout();
        }
    }

    private void startDeliveryTimeout() {
        Future<?> timeout = timer.schedule(
                () -> exchange.getIoThread().execute(this::abort), DELIVERY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((done, next) -> {
            timeout.cancel(false);
            next.proceed();
        });
    }

    /** Sends a complete response. */
    public void send(int status, List<String> headers, byte[] body) {
        if (!closed() && !started) {
            startHead(status, headers);
        }
        exchange.setResponseContentLength(body.length);
        write(body);
        end();
    }

    /**
     * Sends an error: as a complete response, as the last event of an event stream, or by closing the connection when
     * another response has already started.
     */
    public void sendError(ErrorResponse error) {
        if (!started) {
            setResultHeaders(error.code().number(), SettingNames.of(error.runState()), error.repeatSafe());
            send(error.code().httpStatus(), List.of("Content-Type", "application/json"), ErrorBody.toJson(error));
        } else if (isEventStream()) {
            String data = new String(ErrorBody.toJson(error), StandardCharsets.UTF_8);
            write(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            end();
        } else {
            abort();
        }
    }

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    public void abort() {
        if (disconnected || exchange.isComplete()) {
            return;
        }
        boolean fullyWritten = ended && queued.isEmpty() && !sending;
        disconnected = true;
        queued.clear();
        queuedBytes = 0;
        closeConnection();
        deliveryListener.run();
        if (!fullyWritten) {
            disconnectAction.run();
        }
    }

    private void writeQueued() {
        if (sending || disconnected) {
            return;
        }
        if (!queued.isEmpty()) {
            sending = true;
            lastProgressMillis = clock.nowMillis();
            exchange.getResponseSender().send(nextBuffer(), callback);
            scheduleStallCheck(stallMillis);
        } else if (ended && !exchange.isComplete()) {
            exchange.endExchange();
        }
    }

    /** Checks later whether the caller reads; only the writes that do not end at once need a check. */
    private void scheduleStallCheck(long delayMillis) {
        if (!sending || disconnected || stallCheckScheduled) {
            return;
        }
        stallCheckScheduled = true;
        Future<?> unused = timer.schedule(
                () -> exchange.getIoThread().execute(this::checkStall), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkStall() {
        stallCheckScheduled = false;
        long remainingMillis = lastProgressMillis + stallMillis - clock.nowMillis();
        if (sending && remainingMillis <= 0) {
            abort();
        } else {
            scheduleStallCheck(remainingMillis);
        }
    }

    private ByteBuffer nextBuffer() {
        ByteBuffer buffer = ByteBuffer.allocate((int) Math.min(queuedBytes, MAX_WRITE_BYTES));
        while (buffer.hasRemaining()) {
            ByteBuffer first = queued.element();
            int length = Math.min(first.remaining(), buffer.remaining());
            buffer.put(first.slice(first.position(), length));
            first.position(first.position() + length);
            if (!first.hasRemaining()) {
                queued.remove();
            }
        }
        queuedBytes -= buffer.capacity();
        return buffer.flip();
    }

    private boolean isEventStream() {
        String type = exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        return type != null && type.toLowerCase(Locale.ROOT).startsWith("text/event-stream");
    }

    private void addHeaders(List<String> headers) {
        HeaderMap target = exchange.getResponseHeaders();
        IntStream.range(0, headers.size() / 2)
                .forEach(i -> target.add(new HttpString(headers.get(2 * i)), headers.get(2 * i + 1)));
    }

    private void setResultHeaders(int code, String runState, boolean repeatSafe) {
        HeaderMap target = exchange.getResponseHeaders();
        target.put(resultHeader("Result-Code"), code);
        target.put(resultHeader("Run-State"), runState);
        target.put(resultHeader("Repeat-Safe"), String.valueOf(repeatSafe));
    }

    private static HttpString resultHeader(String name) {
        return new HttpString("Wagtailcart-" + name);
    }

    private void closeConnection() {
        try {
            if (endsWithConnection) {
                // Only a reset shows a caller that the body is incomplete.
                exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
            }
            exchange.getConnection().close();
        } catch (IOException e) {
            exchange.setPersistent(false);
        }
    }
}
