package org.wagtailcart.sidecar;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptQuery;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.sidecar.order.OrderTiming;
import org.wagtailcart.sidecar.upstream.UpstreamOptions;
import org.wagtailcart.standin.EngineOptions;
import org.wagtailcart.standin.ServiceOptions;
import org.wagtailcart.standin.StandinEngine;
import org.wagtailcart.standin.StandinService;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.PeerDispatcher;

/** Fixture with a sidecar, an embedded engine {@code e} and an embedded service {@code s}. */
final class SidecarFixture implements AutoCloseable {
    static final OrderTiming TIMING = new OrderTiming(1_000, 1_500, 50, 50);
    private static final UpstreamOptions UPSTREAM = new UpstreamOptions(500, 1_000, 600_000, 1_000, 2_000, 1_000);

    final FakeControl control = new FakeControl();
    final ExecutorService traffic = Executors.newCachedThreadPool();
    private final List<ScheduledExecutorService> controlThreads = new CopyOnWriteArrayList<>();
    final MetricRegistry registry = new MetricRegistry();
    final Address engineAddress = TestAddresses.free();
    final Address serviceAddress = TestAddresses.free();
    final StandinEngine engine;
    final StandinService service = new StandinService(new ServiceOptions(serviceAddress, 0, false));
    private final AtomicLong nextNumber = new AtomicLong(1_000);
    PeerDispatcher dispatcher;
    SidecarRole role;

    SidecarFixture(UnaryOperator<EngineOptions> engineOptions) {
        engine = new StandinEngine(engineOptions.apply(EngineOptions.forTest(engineAddress, "m")));
        engine.start();
        service.start();
        control.add("e", UpstreamKind.ENGINE, engineAddress, 4);
        control.add("s", UpstreamKind.SERVICE, serviceAddress, 4);
        startRole(1);
        await(role::ready);
    }

    /** Starts another sidecar process; the previous one is neither stopped nor changed. */
    void startRole(long incarnation) {
        SidecarOptions options = new SidecarOptions(
                "sc",
                new Address("127.0.0.1", 1),
                incarnation,
                2,
                500,
                3_000,
                100,
                1 << 20,
                64 << 10,
                UPSTREAM,
                TIMING);
        ScheduledExecutorService controlThread = Executors.newSingleThreadScheduledExecutor();
        controlThreads.add(controlThread);
        dispatcher = new PeerDispatcher();
        role = new SidecarRole(
                options, control, control, dispatcher, traffic, controlThread, registry, control.revision::get);
        role.start();
    }

    @Override
    public void close() {
        role.close();
        engine.close();
        service.close();
        controlThreads.forEach(ScheduledExecutorService::shutdownNow);
        traffic.shutdownNow();
    }

    long epoch() {
        return ((SidecarDump) role.dump()).epoch();
    }

    /** Returns a streamed completion of the given length; its deadline is later than the timeouts of all tests. */
    AttemptRequest streamedCompletion(String attemptId, int tokens) {
        String body = "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":" + tokens + "}";
        return request(attemptId, 0, 0, "e", "/v1/completions", body, 600_000);
    }

    /** Returns a completion of the given length whose response is not streamed. */
    AttemptRequest unstreamedCompletion(String attemptId, int tokens) {
        String body = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":" + tokens + "}";
        return request(attemptId, 0, 0, "e", "/v1/completions", body, 600_000);
    }

    /** Returns a non-idempotent call whose idempotency key is its attempt id. */
    AttemptRequest nonIdempotentCall(String attemptId) {
        return request(attemptId, nextNumber.incrementAndGet(), epoch(), "s", "/book", "wheel", 20_000);
    }

    AttemptRequest request(
            String attemptId,
            long number,
            long epoch,
            String upstream,
            String path,
            String body,
            long remainingMillis) {
        List<String> headers = List.of("Content-Type", "application/json", "Idempotency-Key", attemptId);
        return new AttemptRequest(
                attemptId,
                number,
                epoch,
                upstream,
                control.revision.get(),
                remainingMillis,
                Priority.NORMAL,
                "POST",
                path,
                headers,
                body.getBytes(UTF_8));
    }

    RecordingExchange send(Object request) {
        RecordingExchange exchange = new RecordingExchange();
        try {
            dispatcher.handle(exchange, request);
        } catch (WagtailcartException e) {
            exchange.fail(e);
        }
        return exchange;
    }

    AttemptStatus query(AttemptRequest request) throws Exception {
        return (AttemptStatus) send(new AttemptQuery(
                        request.attemptId(), request.attemptNumber(), request.epoch(), request.upstreamId()))
                .reply();
    }

    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + 60_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition did not become true within 60 s");
            }
            Thread.onSpinWait();
        }
    }
}
