package org.wagtailcart.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.TypedLogEvent;

/**
 * Log handler that writes one JSON object per line to standard output, on its own thread. Loggers never block: records
 * are dropped and counted when the queue is full; records of successes also above a rate or a queue length.
 */
final class JsonLineHandler extends Handler {
    private static final Set<String> RESERVED_FIELDS = Set.of("time", "level", "event", "trace");

    /** Most records that may be queued for the writer thread. */
    private static final int QUEUE_CAPACITY = 4_096;
    /** Queue length from which records of successes are dropped, so that room is left for failures. */
    private static final int FAILURES_ONLY_QUEUE_LENGTH = 2_048;
    /** Most records of successes that are written per second. */
    private static final int MAX_SUCCESSES_PER_SECOND = 200;

    private static final int MILLIS_PER_SECOND = 1_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final CountDownLatch writerStopped = new CountDownLatch(1);
    private final JsonFactory jsonFactory = new JsonFactory();
    private final OutputStream out;
    private final Counter dropped;
    private volatile boolean closed;
    private long currentSecond;
    private int successesInSecond;

    /** Creates a handler that writes to standard output. */
    JsonLineHandler(MetricRegistry registry) {
        this(registry, new FileOutputStream(FileDescriptor.out));
    }

    JsonLineHandler(MetricRegistry registry, OutputStream out) {
        this.out = new BufferedOutputStream(out);
        jsonFactory.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        dropped = registry.counter("log.dropped");
        DaemonThreads.named("log").newThread(this::runWriter).start();
    }

    @Override
    public void publish(LogRecord record) {
        boolean queued = !closed && isWithinRate(record) && queue.offer(record);
        if (!queued) {
            dropped.inc();
        }
    }

    private synchronized boolean isWithinRate(LogRecord record) {
        if (!isSuccess(record)) {
            return true;
        }
        long now = record.getMillis() / MILLIS_PER_SECOND;
        if (now != currentSecond) {
            currentSecond = now;
            successesInSecond = 0;
        }
        successesInSecond++;
        return successesInSecond <= MAX_SUCCESSES_PER_SECOND && queue.size() < FAILURES_ONLY_QUEUE_LENGTH;
    }

    private static boolean isSuccess(LogRecord record) {
        TypedLogEvent event = eventOf(record);
        if (event == null || !event.kind().sampled()) {
            return false;
        }
        int code = event.kind().fields().indexOf("code");
        return code < 0 || Integer.valueOf(0).equals(event.values().get(code));
    }

    private static @Nullable TypedLogEvent eventOf(LogRecord record) {
        Object[] parameters = record.getParameters();
        return parameters != null && parameters.length == 1 && parameters[0] instanceof TypedLogEvent event
                ? event
                : null;
    }

    private void runWriter() {
        try {
            while (!closed || !queue.isEmpty()) {
                LogRecord record = queue.poll(100, TimeUnit.MILLISECONDS);
                if (record != null) {
                    writeLineSafely(record);
                }
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Standard output is closed, so the failure cannot be logged either.
            closed = true;
        } finally {
            writerStopped.countDown();
        }
    }

    /** Writes a line; a record that cannot be formatted is counted as dropped and does not end the writer thread. */
    private void writeLineSafely(LogRecord record) throws IOException {
        try {
            writeLine(record);
        } catch (RuntimeException | StackOverflowError e) {
            dropped.inc();
            out.write('\n');
        }
    }

    private void writeLine(LogRecord record) throws IOException {
        try (JsonGenerator json = jsonFactory.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField(
                    "time", Instant.ofEpochMilli(record.getMillis()).toString());
            json.writeStringField("level", record.getLevel().getName());
            TypedLogEvent event = eventOf(record);
            if (event == null) {
                writeMessage(json, String.valueOf(record.getMessage()));
            } else {
                json.writeStringField("event", event.kind().eventName());
                IntStream.range(0, event.values().size())
                        .forEach(i -> writeField(
                                json,
                                event.kind().fields().get(i),
                                event.values().get(i)));
            }
            Throwable thrown = record.getThrown();
            if (thrown != null) {
                json.writeStringField("trace", StackTraces.text(thrown));
            }
            json.writeEndObject();
        }
        out.write('\n');
    }

    /** Writes a message in the form of {@link LogEvent} as its fields, any other message as text. */
    private static void writeMessage(JsonGenerator json, String message) throws IOException {
        Optional<LogEvent.Line> line = LogEvent.parse(message).filter(JsonLineHandler::hasNoReservedField);
        json.writeStringField("event", line.map(LogEvent.Line::name).orElse("text"));
        if (line.isPresent()) {
            line.get().fields().forEach((name, value) -> writeField(json, name, value));
        } else {
            json.writeStringField("text", message);
        }
    }

    private static boolean hasNoReservedField(LogEvent.Line line) {
        return Collections.disjoint(line.fields().keySet(), RESERVED_FIELDS);
    }

    private static void writeField(JsonGenerator json, String name, @Nullable Object value) {
        try {
            if (value instanceof Long || value instanceof Integer) {
                json.writeNumberField(name, ((Number) value).longValue());
            } else if (value instanceof Boolean flag) {
                json.writeBooleanField(name, flag);
            } else {
                json.writeStringField(name, String.valueOf(value));
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void flush() {}

    /** Stops the writer thread after it has written the queued records, or after a timeout. */
    @Override
    public void close() {
        closed = true;
        try {
            boolean unused = writerStopped.await(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
