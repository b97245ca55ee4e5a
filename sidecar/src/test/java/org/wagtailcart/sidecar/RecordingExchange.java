package org.wagtailcart.sidecar;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptStarted;
import org.wagtailcart.wire.Exchange;

/** Server side of a peer call that records its events and its result in memory. */
final class RecordingExchange implements Exchange {
    private final List<Object> events = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Object> end = new CompletableFuture<>();
    private final AtomicReference<Runnable> cancelAction = new AtomicReference<>(() -> {});

    @Override
    public String peer() {
        return "test";
    }

    @Override
    public void send(Object event) {
        events.add(event);
    }

    @Override
    public void finish(Object reply) {
        end.complete(reply);
    }

    @Override
    public void fail(WagtailcartException error) {
        end.completeExceptionally(error);
    }

    @Override
    public void onCancel(Runnable action) {
        cancelAction.set(action);
    }

    @Override
    public boolean isCancelled() {
        return false;
    }

    void cancel() {
        cancelAction.get().run();
    }

    List<Object> events() {
        return events;
    }

    boolean ended() {
        return end.isDone();
    }

    AttemptStarted started() {
        return (AttemptStarted) events.get(0);
    }

    String body() {
        StringBuilder text = new StringBuilder();
        events.stream()
                .filter(AttemptChunk.class::isInstance)
                .forEach(chunk -> text.append(new String(((AttemptChunk) chunk).bytes(), UTF_8)));
        return text.toString();
    }

    /** Waits for the end of the exchange and returns its final reply. */
    Object reply() throws Exception {
        return end.get(60, TimeUnit.SECONDS);
    }

    /** Waits for the end of the exchange and returns its error. */
    WagtailcartException failure() throws Exception {
        try {
            throw new AssertionError("exchange succeeded with " + reply());
        } catch (ExecutionException e) {
            return (WagtailcartException) e.getCause();
        }
    }
}
