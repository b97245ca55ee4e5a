package org.wagtailcart.gateway;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.directory.HostList;
import org.wagtailcart.gateway.call.GatewayContext;
import org.wagtailcart.gateway.call.RequestCounters;
import org.wagtailcart.gateway.call.RetryBudgets;
import org.wagtailcart.gateway.list.ListReader;
import org.wagtailcart.gateway.list.UpstreamBook;
import org.wagtailcart.gateway.protocol.RequestProtocol;
import org.wagtailcart.gateway.send.HttpUpstreams;
import org.wagtailcart.gateway.watch.RouteWatch;

/** The gateway: takes the requests of callers by host and path and passes them to upstreams over HTTP. */
public final class GatewayRole implements RoleService {
    private static final Logger LOG = System.getLogger(GatewayRole.class.getName());
    /** Time within which the head of a request must arrive whole. */
    private static final int HEAD_MILLIS = 10_000;
    /** Time after which a connection without a request is closed; longer than callers keep theirs. */
    private static final int IDLE_MILLIS = 120_000;

    private static final int MAX_HEAD_BYTES = 64 << 10;

    private final GatewayOptions options;
    private final GatewayContext context;
    private final ListReader listReader;
    private final InboundHandler handler;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean draining;
    private volatile boolean closing;
    private volatile boolean reportedReady;
    private @Nullable Undertow server;

    /**
     * Creates a gateway that does not listen yet.
     *
     * @param traffic threads that wait for upstreams
     * @param timer runs short delayed tasks
     */
    public GatewayRole(
            GatewayOptions options,
            RouteWatch.Transport control,
            HostList list,
            RequestProtocol protocol,
            ExecutorService traffic,
            ScheduledExecutorService timer,
            MetricRegistry registry) {
        if (timer instanceof ScheduledThreadPoolExecutor pool) {
            // Deadlines of finished requests would otherwise stay in memory until they pass.
            pool.setRemoveOnCancelPolicy(true);
        }
        MillisClock clock = MillisClock.monotonic();
        this.options = options;
        UpstreamBook book = new UpstreamBook(options.place(), clock);
        RouteWatch watch = new RouteWatch(options.processId(), options.controlSeeds(), control, book, timer, clock);
        this.listReader = new ListReader(list, book, clock);
        this.context = new GatewayContext(
                protocol,
                book,
                new HttpUpstreams(clock),
                watch,
                new RetryBudgets(options.retryRatio(), options.retryReserve(), options.retryWindowMillis()),
                new RequestCounters(registry),
                traffic,
                timer,
                clock);
        this.handler = new InboundHandler(context, new HandlerState());
        GatewayMetrics.register(registry, context, handler::openRequests);
    }

    private final class HandlerState implements InboundHandler.State {
        @Override
        public boolean refusesNewWork() {
            return closing;
        }

        @Override
        public boolean closesConnections() {
            return draining;
        }

        @Override
        public void requestEnded() {
            completeIfDrained();
        }
    }

    @Override
    public synchronized void start() {
        context.watch().start();
        listReader.start();
        Address callers = options.callerAddress();
        Address balancer = options.readyAddress();
        HttpHandler byListener = exchange -> {
            if (exchange.getDestinationAddress().getPort() == balancer.port()) {
                handleReadiness(exchange);
            } else {
                handler.handleRequest(exchange);
            }
        };
        Undertow started = Undertow.builder()
                .addHttpListener(callers.port(), callers.ip())
                .addHttpListener(balancer.port(), balancer.ip())
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(new io.undertow.server.handlers.HttpContinueReadHandler(byListener))
                .build();
        try {
            started.start();
        } catch (RuntimeException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "cannot listen on " + callers + " or " + balancer, e);
        }
        server = started;
    }

    private void handleReadiness(HttpServerExchange exchange) {
        boolean known = exchange.getRequestPath().equals(context.protocol().readyPath());
        boolean ready = ready();
        if (ready != reportedReady) {
            reportedReady = ready;
            EventKind.READINESS_CHANGED.log(LOG, Level.INFO, ready, draining ? "shutdown" : "routes and list");
        }
        exchange.setStatusCode(!known ? 404 : ready ? 200 : 503);
        exchange.getResponseSender().send(ready ? "ready\n" : "not ready\n");
    }

    /** Adds addresses at which control members may be found. */
    public void addControlSeeds(List<Address> seeds) {
        context.watch().addSeeds(seeds);
    }

    @Override
    public boolean ready() {
        return !draining && context.knowsRoutes();
    }

    /** Fails readiness at once, serves for the grace period; completes when no request is open after it. */
    @Override
    public CompletableFuture<Void> drain() {
        draining = true;
        var unused = context.timer().schedule(this::finishDrain, options.shutdownGraceMillis(), TimeUnit.MILLISECONDS);
        return drained;
    }

    private void finishDrain() {
        closing = true;
        completeIfDrained();
    }

    private void completeIfDrained() {
        if (closing && handler.openRequests() == 0) {
            drained.complete(null);
        }
    }

    @Override
    public GatewayDump dump() {
        int gateways = context.watch().gatewayCount();
        return new GatewayDump(
                ready(),
                draining,
                context.watch().routes().table().version(),
                context.watch().ageMillis(),
                context.book().listAgeMillis(),
                gateways,
                handler.openRequests(),
                context.budgets().left(gateways, context.clock().nowMillis()),
                context.book().ownWork());
    }

    @Override
    public synchronized void close() {
        context.watch().close();
        listReader.close();
        Undertow running = server;
        if (running != null) {
            running.stop();
            server = null;
        }
        context.upstreams().close();
        drained.complete(null);
    }
}
