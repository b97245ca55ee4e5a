package org.wagtailcart.wire;

import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.WagtailcartException;

/** Exchange that was opened by a peer. */
final class ServerExchange implements Exchange {
    private final PeerConnection connection;
    private final MessageCodec codec;
    private final long exchangeId;
    private final AtomicBoolean ended = new AtomicBoolean();
    private boolean cancelled;
    private @Nullable Runnable cancelAction;

    ServerExchange(PeerConnection connection, MessageCodec codec, long exchangeId) {
        this.connection = connection;
        this.codec = codec;
        this.exchangeId = exchangeId;
    }

    @Override
    public String peer() {
        return connection.remote();
    }

    @Override
    public void send(Object event) {
        if (!ended.get()) {
            connection.send(frame(FrameKind.EVENT, event));
        }
    }

    @Override
    public void finish(Object response) {
        Frame frame = frame(FrameKind.END, response);
        end(frame);
    }

    @Override
    public void fail(WagtailcartException error) {
        byte[] payload = codec.encode(ErrorMessage.of(error));
        end(new Frame(FrameKind.ERROR, exchangeId, ErrorMessage.TYPE_NUMBER, payload));
    }

    @Override
    public void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                cancelAction = action;
                return;
            }
        }
        action.run();
    }

    @Override
    public synchronized boolean isCancelled() {
        return cancelled;
    }

    void cancelled() {
        if (ended.getAndSet(true)) {
            return;
        }
        Runnable action;
        synchronized (this) {
            cancelled = true;
            action = cancelAction;
        }
        if (action != null) {
            action.run();
        }
    }

    private void end(Frame frame) {
        if (!ended.getAndSet(true)) {
            connection.exchanges().remove(exchangeId);
            connection.send(frame);
        }
    }

    private Frame frame(FrameKind kind, Object message) {
        return new Frame(kind, exchangeId, codec.typeNumber(message), codec.encode(message));
    }
}
