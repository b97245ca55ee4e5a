package org.wagtailcart.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Stand-in server for an engine: continuous batching in real time by a cost model. Can be restarted after a close. */
public final class StandinEngine implements AutoCloseable {
    private static final long SAMPLE_MILLIS = 100;

    /**
     * Counts of requests since the engine was created.
     *
     * @param cutByOrder sequences aborted by an order
     * @param cancelled cancel requests received
     */
    public record Counters(long started, long finished, long cutByOrder, long cancelled, long kvImports) {}

    /** A prompt whose KV cache is kept for export to another engine. */
    private record HeldKv(String requestId, String prompt, int tokens) {}

    private record Models(String object, List<Model> data) {}

    private record Model(String id, String object) {}

    private record CacheEvents(List<PrefixCache.CacheEvent> events) {}

    private final EngineOptions options;
    private final MillisClock clock = MillisClock.monotonic();
    private final FaultInjector faults = new FaultInjector();
    private final EngineConfiguration configuration;
    private final CompletionHandler completions = new CompletionHandler(this, faults);
    private final Map<String, HeldKv> heldKv = new ConcurrentHashMap<>();
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong finished = new AtomicLong();
    private final AtomicLong cutByOrder = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong kvImports = new AtomicLong();
    private volatile @Nullable Components running;

    /** Components that exist only while the engine runs. */
    private record Components(
            HttpListener listener,
            EngineLoop loop,
            PrefixCache cache,
            LoadHistory load,
            ScheduledExecutorService executor,
            ScheduledFuture<?> sampling) {}

    /** Creates an engine without starting it. */
    public StandinEngine(EngineOptions options) {
        this.options = options;
        this.configuration = new EngineConfiguration(options.target(), options.checksFencing());
    }

    /** Starts the engine with the configuration of the options. */
    public synchronized void start() {
        configuration.restart();
        heldKv.clear();
        EngineLoop loop = new EngineLoop(options.cost(), options.target().role());
        PrefixCache cache = new PrefixCache(options.cacheTokens(), options.cacheEventDropInterval(), clock);
        LoadHistory load = new LoadHistory();
        ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
        ScheduledFuture<?> sampling = executor.scheduleAtFixedRate(
                () -> sample(loop, load, cache), SAMPLE_MILLIS, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
        HttpListener listener = new HttpListener(options.listen(), this::handle);
        running = new Components(listener, loop, cache, load, executor, sampling);
    }

    /** Stops immediately and closes all connections. */
    @Override
    public synchronized void close() {
        Components parts = running;
        running = null;
        if (parts != null) {
            parts.listener().close();
            parts.loop().close();
            parts.executor().shutdownNow();
        }
    }

    /** Returns whether the engine is started and has not crashed. */
    public boolean running() {
        return running != null;
    }

    /** Injects a fault into the next requests. */
    public void fault(Fault fault) {
        faults.set(fault);
    }

    /** Returns all orders received since the engine was created, in order of receipt. */
    public List<OrderRecord> orders() {
        return configuration.orders();
    }

    /** Returns the counts of requests. */
    public Counters counters() {
        return new Counters(started.get(), finished.get(), cutByOrder.get(), cancelled.get(), kvImports.get());
    }

    /** Returns the current configuration. */
    public EngineTarget target() {
        return configuration.target();
    }

    /** Returns the number of sequences in the batch and in the queue. */
    public int inFlight() {
        EngineLoop.Progress progress = requireRunning().loop().progress();
        return progress.running() + progress.queued();
    }

    private Components requireRunning() {
        Components parts = running;
        if (parts == null) {
            throw new WagtailcartException(ResultCode.SHUTTING_DOWN, "engine is not running");
        }
        return parts;
    }

    /** Waits for the given time; returns false as soon as the engine is stopped. */
    boolean await(long millis) throws InterruptedException {
        return requireRunning().listener().await(millis);
    }

    /** Crashes when the condition holds: ends the process, or only closes the sockets, as the options say. */
    void crashIf(boolean condition) {
        if (!condition) {
            return;
        }
        if (options.exitOnCrash()) {
            Runtime.getRuntime().halt(137);
        }
        // close() waits for the worker threads, so it would deadlock on one of them.
        Thread closer = new Thread(this::close, "engine-crash");
        closer.start();
    }

    /** Returns the loaded model, or throws when the request is for another one. */
    String modelFor(CompletionBody body) {
        EngineTarget target = configuration.target();
        String model = body.model();
        if (model != null && !model.equals(target.model()) && !model.equals(target.adapter())) {
            throw new WagtailcartException(ResultCode.MODEL_UNKNOWN, "model " + model + " is not loaded");
        }
        return target.model();
    }

    /** Submits a request to the batch, with the prefill that neither the cache nor a KV cache import saves. */
    Sequence submit(String requestId, CompletionBody body) throws IOException, InterruptedException {
        if (configuration.changing()) {
            throw new WagtailcartException(ResultCode.ENGINE_BUSY_WITH_ORDER, "engine is carrying out an order");
        }
        String prompt = body.promptText();
        int promptTokens = Tokens.count(prompt) + body.resumeFrom();
        int cached = requireRunning().cache().lookupAndStore(prompt);
        int prefill =
                body.kvSource() == null ? Math.max(1, promptTokens - cached) : importKv(body.kvSource(), promptTokens);
        if (body.holdKv()) {
            heldKv.put(requestId, new HeldKv(requestId, prompt, promptTokens));
        }
        Sequence sequence = new Sequence(requestId, body.priority(), prefill, body.resumeFrom(), body.outputTokens());
        started.incrementAndGet();
        requireRunning().loop().submit(sequence);
        return sequence;
    }

    /** Removes a request whose response has been written or aborted. */
    void release(Sequence sequence) {
        finished.incrementAndGet();
        Components parts = running;
        if (parts != null) {
            parts.loop().cancel(sequence.requestId());
        }
    }

    /** Imports a KV cache and returns the prompt tokens left to prefill: all of them when the source is unreachable. */
    private int importKv(CompletionBody.KvSource source, int promptTokens) throws InterruptedException {
        try {
            byte[] exported =
                    StandinHttpClient.get(Address.parse(source.address()), "/engine/kv/" + source.requestId());
            HeldKv kv = Json.read(exported, HeldKv.class);
            await((long) (kv.tokens() * 1000 / options.cost().importTokensPerSecond()));
            kvImports.incrementAndGet();
            return Math.max(1, promptTokens - kv.tokens());
        } catch (IOException e) {
            return promptTokens;
        }
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestPath();
        switch (path) {
            case "/v1/chat/completions" -> completions.handle(exchange, true);
            case "/v1/completions" -> completions.handle(exchange, false);
            case "/v1/models" ->
                HttpListener.respond(
                        exchange,
                        200,
                        new Models(
                                "list", List.of(new Model(configuration.target().model(), "model"))));
            case "/engine/state" -> state(exchange);
            case "/engine/orders" -> order(exchange);
            case "/engine/load" ->
                HttpListener.respond(
                        exchange,
                        200,
                        requireRunning().load().latestAtOrBefore(clock.nowMillis() - options.loadLagMillis()));
            case "/engine/cache-events" -> cacheEvents(exchange);
            case "/standin/faults" -> {
                fault(Json.read(HttpListener.body(exchange), FaultBody.class).toFault());
                HttpListener.respond(exchange, 200, configuration.state());
            }
            case "/standin/orders" -> HttpListener.respond(exchange, 200, orders());
            case "/standin/counters" -> HttpListener.respond(exchange, 200, counters());
            default -> handleById(exchange, path);
        }
    }

    private void handleById(HttpServerExchange exchange, String path) {
        String id = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/v1/requests/") && exchange.getRequestMethod().equals(Methods.DELETE)) {
            cancelled.incrementAndGet();
            requireRunning().loop().cancel(id);
            HttpListener.respond(exchange, 200, configuration.state());
            return;
        }
        HeldKv kv = path.startsWith("/engine/kv/") ? heldKv.remove(id) : null;
        if (kv == null) {
            throw new WagtailcartException(ResultCode.NOT_FOUND, "path " + path + " does not exist");
        }
        HttpListener.respond(exchange, 200, kv);
    }

    private void state(HttpServerExchange exchange) {
        if (faults.consume(FaultKind.RESET_STATE).isPresent()) {
            HttpListener.abort(exchange);
            return;
        }
        HttpListener.respond(exchange, 200, configuration.state());
    }

    private void cacheEvents(HttpServerExchange exchange) {
        long after = exchange.getQueryParameters().containsKey("after") ? HttpListener.queryLong(exchange, "after") : 0;
        long until = clock.nowMillis() - options.cacheEventLagMillis();
        HttpListener.respond(
                exchange, 200, new CacheEvents(requireRunning().cache().eventsAfter(after, until)));
    }

    private void order(HttpServerExchange exchange) throws IOException, InterruptedException {
        OrderBody order = Json.read(HttpListener.body(exchange), OrderBody.class);
        Optional<Fault> delay = faults.consume(FaultKind.DELAY_ORDER);
        if (delay.isPresent()) {
            await(delay.get().delayMillis());
        }
        OrderRecord received = configuration.receive(order);
        if (!received.accepted()) {
            HttpListener.respond(exchange, 409, configuration.state());
            return;
        }
        Components parts = requireRunning();
        cutByOrder.addAndGet(parts.loop().abortAll());
        int startNumber = configuration.startNumber();
        boolean crash = faults.consume(FaultKind.CRASH_IN_ORDER).isPresent();
        parts.executor().execute(() -> change(parts, startNumber, order.target(), crash));
        if (faults.consume(FaultKind.RESET_AFTER_ORDER).isPresent()) {
            HttpListener.abort(exchange);
            return;
        }
        HttpListener.respond(exchange, 202, configuration.state());
    }

    private void change(Components parts, int startNumber, EngineTarget next, boolean crash) {
        try {
            parts.listener().await(options.orderMillis() / 2);
            crashIf(crash);
            loadWeights(next);
            if (parts.listener().await(options.orderMillis() / 2) && !crash) {
                parts.cache().clear();
                parts.loop().setRole(next.role());
                configuration.complete(startNumber, next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void loadWeights(EngineTarget next) {
        EngineTarget current = configuration.target();
        boolean sameWeights = current.model().equals(next.model())
                && current.version().equals(next.version())
                && current.adapter().equals(next.adapter());
        if (!sameWeights && options.weights().isPresent()) {
            try {
                StandinHttpClient.get(options.weights().get(), "/weights/" + next.model() + "/" + next.version());
            } catch (IOException e) {
                throw new WagtailcartException(
                        ResultCode.UPSTREAM_FAILED, "weights of " + next + " could not be loaded", e);
            }
        }
    }

    private void sample(EngineLoop loop, LoadHistory load, PrefixCache cache) {
        EngineLoop.Progress progress = loop.progress();
        boolean hard = progress.running() > options.cost().softBatch();
        load.sample(clock.nowMillis(), progress, hard, cache.sizeTokens());
        options.powerFeed().ifPresent(feed -> loop.setSlowdown(PowerFeed.report(feed, options.listen(), hard)));
    }
}
