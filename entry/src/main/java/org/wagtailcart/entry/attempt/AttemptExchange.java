package org.wagtailcart.entry.attempt;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStarted;
import org.wagtailcart.wire.Call;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.StreamListener;

/** Client of one attempt at a sidecar. Its state is confined to the executor of the caller's request. */
public final class AttemptExchange {
    private static final Logger LOG = System.getLogger(AttemptExchange.class.getName());

    private final AttemptResponseValidator validator;
    private final String attemptId;
    private final AttemptListener listener;
    private final Consumer<AttemptEnd> endListener;
    private @Nullable Call call;
    private boolean finished;

    private AttemptExchange(String attemptId, AttemptListener listener, Consumer<AttemptEnd> endListener) {
        this.attemptId = attemptId;
        this.validator = new AttemptResponseValidator(attemptId);
        this.listener = listener;
        this.endListener = endListener;
    }

    /**
     * Sends an attempt to a sidecar.
     *
     * @param executor runs the listener, one task after another; this method must be called on it
     * @param endListener receives the end marker with the upstream's load
     */
    public static AttemptExchange open(
            PeerClient peers,
            Address sidecar,
            AttemptRequest request,
            AttemptListener listener,
            Executor executor,
            Consumer<AttemptEnd> endListener) {
        AttemptExchange exchange = new AttemptExchange(request.attemptId(), listener, endListener);
        exchange.call = peers.open(sidecar, request, exchange.streamListener(executor));
        return exchange;
    }

    /** Cancels the attempt down to the upstream; the listener is not called again. */
    public void cancel() {
        Call open = call;
        if (!finished && open != null) {
            finished = true;
            open.cancel();
        }
    }

    private StreamListener streamListener(Executor executor) {
        return new StreamListener() {
            @Override
            public void onEvent(Object event) {
                run(executor, () -> runGuarded(() -> receive(event)));
            }

            @Override
            public void onEnd(Object reply) {
                run(executor, () -> runGuarded(() -> receiveEnd(reply)));
            }

            @Override
            public void onFailure(WagtailcartException error) {
                run(executor, () -> fail(error));
            }
        };
    }

    private static void run(Executor executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, LogEvent.of("attempt-event-dropped", "reason", "process is stopping"));
        }
    }

    private void runGuarded(Runnable task) {
        if (finished) {
            return;
        }
        try {
            task.run();
        } catch (WagtailcartException e) {
            cancel();
            finished = true;
            listener.onFailed(e);
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.of("attempt-event-error", "attempt", attemptId, "reason", e), e);
            cancel();
            finished = true;
            listener.onFailed(
                    new WagtailcartException(ResultCode.INTERNAL_ERROR, "unexpected error in the entry: " + e, e));
        }
    }

    private void fail(WagtailcartException error) {
        if (!finished) {
            finished = true;
            listener.onFailed(error);
        }
    }

    private void receive(Object event) {
        if (event instanceof AttemptStarted started) {
            deliver(validator.validate(started), () -> listener.onStarted(started.status(), started.headers()));
        } else if (event instanceof AttemptChunk chunk) {
            deliver(validator.validate(chunk), () -> listener.onBytes(chunk.bytes()));
        } else {
            throw unexpected(event);
        }
    }

    private void deliver(AttemptResponseValidator.Decision decision, Runnable delivery) {
        if (decision == AttemptResponseValidator.Decision.ACCEPT) {
            delivery.run();
        } else {
            LOG.log(Level.WARNING, LogEvent.of("attempt-event-dropped", "attempt", attemptId));
        }
    }

    private void receiveEnd(Object reply) {
        if (!(reply instanceof AttemptEnd end)) {
            throw unexpected(reply);
        }
        validator.validate(end);
        endListener.accept(end);
        finished = true;
        listener.onComplete();
    }

    private static WagtailcartException unexpected(Object message) {
        return new WagtailcartException(
                ResultCode.ANSWER_MISMATCH,
                "sidecar sent an unexpected message: " + message.getClass().getSimpleName());
    }
}
