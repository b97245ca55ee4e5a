package org.wagtailcart.entry;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.entry.admission.BoundedQueueAdmission;
import org.wagtailcart.entry.admission.RatioRetryBudget;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.WireOptions;

/** Test fixture: one entry on a free port with an HTTP client. */
final class EntryFixture implements AutoCloseable {
    private static final WireOptions WIRE = new WireOptions(4 << 20, 100, 100, 1_000, 1_000, 32 << 20);

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final IoLoop loop = new IoLoop("entry-io");
    private final PeerClient peers;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final MetricRegistry registry = new MetricRegistry();
    final Address address = TestAddresses.free();
    final LeastInFlightRouter router = new LeastInFlightRouter();
    final EntryRole entry;

    EntryFixture(FakeControl control, ControlLossPolicy policy) {
        this(control, control, policy, 50);
    }

    EntryFixture(FakeControl view, ControlClient control, ControlLossPolicy policy, long graceMillis) {
        peers = new PeerClient(loop, FakeSidecar.CODEC, executor, WIRE, registry);
        entry = new EntryRole(
                new EntryOptions(address, policy, graceMillis),
                control,
                view,
                peers,
                router,
                new BoundedQueueAdmission(),
                new RatioRetryBudget(),
                timer,
                MillisClock.monotonic(),
                registry);
        entry.start();
    }

    /** Waits until the entry has installed the changes of its view that precede the call. */
    void awaitInstalled() {
        try {
            timer.submit(() -> {}).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    HttpResponse<String> get(String path) {
        return send(request(path).GET().build()).join();
    }

    HttpResponse<String> complete(boolean stream, String... headers) {
        return completeAsync(stream, headers).join();
    }

    CompletableFuture<HttpResponse<String>> completeAsync(boolean stream, String... headers) {
        String body =
                "{\"model\":\"m\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
        return post("/v1/chat/completions", body, headers);
    }

    CompletableFuture<HttpResponse<String>> post(String path, String body, String... headers) {
        HttpRequest.Builder request = request(path).POST(BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request.build());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofSeconds(60));
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
        return http.sendAsync(request, BodyHandlers.ofString());
    }

    long count(String counter) {
        return registry.counter(counter).getCount();
    }

    @Override
    public void close() {
        entry.close();
        peers.close();
        loop.close();
        timer.shutdownNow();
        executor.shutdownNow();
    }
}
