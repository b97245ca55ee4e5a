package org.wagtailcart.wire;

import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/** Exchange that was opened by this process. Its request is deferred until the connection is established. */
final class ClientExchange {
    private final MessageCodec codec;
    private final Executor executor;
    private final StreamListener listener;
    private @Nullable Frame deferredRequest;
    private boolean sent;
    private boolean ended;

    ClientExchange(MessageCodec codec, Executor executor, StreamListener listener) {
        this.codec = codec;
        this.executor = executor;
        this.listener = listener;
    }

    /** Sends the request, or defers it to {@link #sendDeferred} while the connection is not established. */
    synchronized void send(PeerConnection connection, Frame frame) {
        if (connection.isConnected()) {
            sent = true;
            connection.send(frame);
        } else {
            deferredRequest = frame;
        }
    }

    /** Sends the deferred request, if there is one. */
    synchronized void sendDeferred(PeerConnection connection) {
        Frame frame = deferredRequest;
        if (frame != null) {
            deferredRequest = null;
            sent = true;
            connection.send(frame);
        }
    }

    /** Decodes an EVENT, END or ERROR frame and passes it to the listener. */
    void receive(Frame frame) {
        Object message;
        try {
            message = frame.kind() == FrameKind.ERROR && frame.typeNumber() == ErrorMessage.TYPE_NUMBER
                    ? codec.decodeError(frame.payload())
                    : codec.decode(frame.typeNumber(), frame.payload());
        } catch (WagtailcartException e) {
            fail(new WagtailcartException(e.code(), RunState.MAY_HAVE_RUN, String.valueOf(e.getMessage())));
            return;
        }
        deliver(frame.kind(), message);
    }

    private void deliver(FrameKind kind, Object message) {
        switch (kind) {
            case EVENT -> executor.execute(() -> listener.onEvent(message));
            case END -> end(() -> listener.onEnd(message));
            default -> fail(((ErrorMessage) message).toException());
        }
    }

    /** Fails the exchange because its connection closed; the run state is NOT_RUN when the request was never sent. */
    void onConnectionClosed(WagtailcartException reason) {
        boolean wasSent;
        synchronized (this) {
            wasSent = sent;
        }
        ResultCode code = wasSent ? reason.code() : ResultCode.CONNECT_FAILED;
        RunState runState = wasSent ? RunState.MAY_HAVE_RUN : RunState.NOT_RUN;
        fail(new WagtailcartException(code, runState, String.valueOf(reason.getMessage())));
    }

    void fail(WagtailcartException error) {
        end(() -> listener.onFailure(error));
    }

    private void end(Runnable last) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        executor.execute(last);
    }
}
