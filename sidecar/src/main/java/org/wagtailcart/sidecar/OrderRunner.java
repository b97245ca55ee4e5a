package org.wagtailcart.sidecar;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.fleet.BeginOrder;
import org.wagtailcart.fleet.FinishOrder;
import org.wagtailcart.fleet.FleetResult;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.sidecar.order.EngineState;
import org.wagtailcart.sidecar.order.OrderAction;
import org.wagtailcart.sidecar.order.OrderExecutor;
import org.wagtailcart.sidecar.order.OrderPort;
import org.wagtailcart.sidecar.order.SendResult;
import org.wagtailcart.sidecar.upstream.EngineClient;

/**
 * Performs the actions of the {@link OrderExecutor} of one engine: commands to the control group and HTTP requests to
 * the engine. Its state is confined to the control thread; HTTP requests run on traffic threads.
 */
final class OrderRunner implements OrderPort {
    private static final Logger LOG = System.getLogger(OrderRunner.class.getName());
    private static final long COMMAND_TIMEOUT_MILLIS = 5_000;

    private final String upstreamId;
    private final OrderExecutor executor;
    private final ControlClient control;
    private final EngineClient engines;
    private final Executor traffic;
    private final Executor controlThread;
    private final MillisClock clock;
    private final Runnable abortStreamsAction;
    private @Nullable UpstreamView view;
    private long epoch;

    OrderRunner(
            String upstreamId,
            OrderExecutor executor,
            ControlClient control,
            EngineClient engines,
            Executor traffic,
            Executor controlThread,
            MillisClock clock,
            Runnable cutStreams) {
        this.upstreamId = upstreamId;
        this.executor = executor;
        this.control = control;
        this.engines = engines;
        this.traffic = traffic;
        this.controlThread = controlThread;
        this.clock = clock;
        this.abortStreamsAction = cutStreams;
    }

    boolean busy() {
        return executor.busy();
    }

    OrderExecutor.Phase phase() {
        return executor.phase();
    }

    /**
     * Performs the next action of the executor, if one is due.
     *
     * @param running requests that run or are queued for the engine
     */
    void step(UpstreamView latest, long currentEpoch, int running, long drainLimitMillis) {
        view = latest;
        epoch = currentEpoch;
        executor.step(clock.nowMillis(), latest, running, drainLimitMillis).ifPresent(this::perform);
    }

    private void perform(OrderAction action) {
        LOG.log(Level.DEBUG, LogEvent.of("order-action", "upstream", upstreamId, "action", action));
        action.performOn(this);
    }

    @Override
    public void begin(long orderNumber) {
        handleResult(
                control.submit(
                        new BeginOrder(upstreamId, orderNumber, epoch), FleetResult.class, COMMAND_TIMEOUT_MILLIS),
                (result, failure) -> onBeginResult(orderNumber, result));
    }

    private void onBeginResult(long orderNumber, @Nullable FleetResult result) {
        if (result == null) {
            executor.onBeginUnanswered(clock.nowMillis());
            return;
        }
        boolean permitted = result.codeNumber() == 0;
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        "order-begin",
                        "upstream",
                        upstreamId,
                        "order",
                        orderNumber,
                        "code",
                        result.codeNumber(),
                        "text",
                        result.message()));
        executor.onBegun(permitted, clock.nowMillis()).ifPresent(this::perform);
    }

    @Override
    public void send(long orderNumber, EngineTarget target, long sendDeadlineMillis) {
        UpstreamView engine = view();
        handleResult(
                onTraffic(() -> engines.sendOrder(engine.address(), orderNumber, target, sendDeadlineMillis)),
                (result, failure) -> onSendResult(orderNumber, result == null ? SendResult.LOST : result));
    }

    private void onSendResult(long orderNumber, SendResult result) {
        LOG.log(Level.INFO, LogEvent.of("order-sent", "upstream", upstreamId, "order", orderNumber, "result", result));
        executor.onSent(result, clock.nowMillis());
    }

    @Override
    public void queryState() {
        UpstreamView engine = view();
        handleResult(onTraffic(() -> engines.state(engine.address())), (state, failure) -> onStateResult(state));
    }

    private void onStateResult(@Nullable EngineState state) {
        if (state == null) {
            executor.onStateUnavailable(clock.nowMillis());
        } else {
            executor.onStateObserved(state, clock.nowMillis());
        }
    }

    @Override
    public void finish(long orderNumber, boolean succeeded, @Nullable EngineTarget observed, String text) {
        FinishOrder command = new FinishOrder(upstreamId, orderNumber, epoch, succeeded, observed, text);
        handleResult(
                control.submit(command, FleetResult.class, COMMAND_TIMEOUT_MILLIS),
                (result, failure) -> onFinishResult(command, result));
    }

    private void onFinishResult(FinishOrder command, @Nullable FleetResult result) {
        if (result == null) {
            executor.onFinishUnanswered(clock.nowMillis());
            return;
        }
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        "order-finish",
                        "upstream",
                        upstreamId,
                        "order",
                        command.orderNumber(),
                        "succeeded",
                        command.succeeded(),
                        "code",
                        result.codeNumber(),
                        "text",
                        command.failureReason()));
        executor.onFinished(clock.nowMillis());
    }

    @Override
    public void abortStreams() {
        abortStreamsAction.run();
    }

    private UpstreamView view() {
        UpstreamView current = view;
        if (current == null) {
            throw new IllegalStateException("no replicated state yet for upstream " + upstreamId);
        }
        return current;
    }

    private <T> CompletableFuture<T> onTraffic(Supplier<T> call) {
        return CompletableFuture.supplyAsync(call, traffic);
    }

    private <T> void handleResult(CompletableFuture<T> future, BiConsumer<@Nullable T, @Nullable Throwable> receiver) {
        var unused = future.whenCompleteAsync(
                (result, failure) -> {
                    if (failure != null) {
                        LOG.log(
                                Level.WARNING,
                                LogEvent.of("order-step-failed", "upstream", upstreamId, "reason", failure));
                    }
                    receiver.accept(failure == null ? result : null, failure);
                },
                controlThread);
    }
}
