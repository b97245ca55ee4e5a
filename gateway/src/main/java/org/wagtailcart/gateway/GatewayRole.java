package org.wagtailcart.gateway;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.directory.HostList;
import org.wagtailcart.entry.request.HttpRequestHead;
import org.wagtailcart.gateway.call.GatewayContext;
import org.wagtailcart.gateway.call.OpenCalls;
import org.wagtailcart.gateway.call.RequestMetrics;
import org.wagtailcart.gateway.call.RetryBudgets;
import org.wagtailcart.gateway.list.HostListReader;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.RequestProtocol;
import org.wagtailcart.gateway.quarantine.EngineCrashDetector;
import org.wagtailcart.gateway.quarantine.PromptQuarantine;
import org.wagtailcart.gateway.report.GatewayReports;
import org.wagtailcart.gateway.report.RunListener;
import org.wagtailcart.gateway.report.UsageMeter;
import org.wagtailcart.gateway.report.UsageReports;
import org.wagtailcart.gateway.send.SuspectUpstreams;
import org.wagtailcart.gateway.send.UnexpectedResponseLog;
import org.wagtailcart.gateway.send.UpstreamHttpClient;
import org.wagtailcart.gateway.share.WorkspaceLimits;
import org.wagtailcart.gateway.stream.StreamOriginClient;
import org.wagtailcart.gateway.stream.StreamResumption;
import org.wagtailcart.gateway.watch.RouteTableWatcher;
import org.wagtailcart.usage.UsageCounter;

/** HTTP gateway that routes the requests of callers to upstreams by host name and path. */
public final class GatewayRole implements RoleService {
    private static final Logger LOG = System.getLogger(GatewayRole.class.getName());
    /** Time limit for receiving the request line and headers. */
    private static final int HEAD_MILLIS = 10_000;
    /** Idle timeout of a connection; longer than the idle timeout of callers, so that they close it first. */
    private static final int IDLE_MILLIS = 120_000;
    /** Time before the process is killed in which the error responses to its open requests are sent. */
    private static final long ERROR_RESPONSE_MILLIS = 500;
    /** Limit on the random incarnation, above which the numbers of usage batches would overflow. */
    private static final long MAX_INCARNATION = 1L << 62;

    private final GatewayOptions options;
    private final GatewayContext context;
    private final Optional<UsageMeter> usage;
    private final HostListReader listReader;
    private final ReadDelayMonitor readDelay;
    private final InboundHandler handler;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean draining;
    private volatile boolean closing;
    private volatile boolean lastLoggedReady;
    private @Nullable Undertow server;

    /**
     * Creates a gateway; {@link #start()} opens its listeners.
     *
     * @param control polls control members
     * @param originTransport carries origins of streams to and from control members
     * @param traffic executor of the blocking calls to upstreams
     * @param timer runs short delayed tasks
     */
    public GatewayRole(
            GatewayOptions options,
            RouteTableWatcher.Transport control,
            StreamOriginClient.Transport originTransport,
            HostList list,
            RequestProtocol protocol,
            ExecutorService traffic,
            ScheduledExecutorService timer,
            MetricRegistry registry) {
        if (timer instanceof ScheduledThreadPoolExecutor pool) {
            // Without this, the cancelled deadline tasks of finished requests stay in the queue until they are due.
            pool.setRemoveOnCancelPolicy(true);
        }
        MillisClock clock = MillisClock.monotonic();
        this.options = options;
        UpstreamRegistry upstreams = new UpstreamRegistry(options.location(), clock);
        PromptQuarantine quarantine = new PromptQuarantine(clock);
        this.usage = options.usageWindowMillis().stream()
                .mapToObj(windowMillis -> new UsageMeter(
                        new UsageCounter(windowMillis, new SecureRandom().nextLong(1, MAX_INCARNATION)),
                        clock,
                        registry))
                .findFirst();
        WorkspaceLimits workspaceLimits = new WorkspaceLimits(options.processId(), clock);
        RouteTableWatcher routeWatcher = new RouteTableWatcher(
                options.processId(),
                options.controlSeeds(),
                control,
                upstreams,
                quarantine,
                new GatewayReports(
                        upstreams, usage.<UsageReports>map(meter -> meter).orElse(UsageReports.NONE), workspaceLimits),
                timer,
                clock);
        SuspectUpstreams suspects = new SuspectUpstreams(clock);
        UnexpectedResponseLog unexpectedResponses = new UnexpectedResponseLog(registry, suspects);
        UpstreamHttpClient client = new UpstreamHttpClient(clock, unexpectedResponses, suspects);
        StreamOriginClient streamOrigins = new StreamOriginClient(
                options.processId(), originTransport, routeWatcher::members, traffic, timer, clock);
        this.listReader = new HostListReader(list, upstreams, clock);
        this.context = new GatewayContext(
                protocol,
                upstreams,
                client,
                unexpectedResponses,
                routeWatcher,
                new RetryBudgets(options.retryRatio(), options.retryReserve(), options.retryWindowMillis()),
                quarantine,
                new EngineCrashDetector(quarantine, client::refusesConnections, traffic, timer, clock),
                workspaceLimits,
                streamOrigins,
                new StreamResumption(streamOrigins, upstreams),
                new OpenCalls(),
                usage.<RunListener>map(meter -> meter).orElse(RunListener.NONE),
                new RequestMetrics(registry),
                traffic,
                timer,
                clock);
        this.readDelay = new ReadDelayMonitor(clock);
        this.handler = new InboundHandler(context, options.revocation(), new HandlerState(), readDelay);
        GatewayMetrics.register(registry, context, handler::openRequests);
    }

    private final class HandlerState implements InboundHandler.GatewayState {
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
        context.routeWatcher().start();
        listReader.start();
        Address callers = options.callerAddress();
        Address loadBalancer = options.readyAddress();
        HttpHandler byListener = exchange -> {
            if (exchange.getDestinationAddress().getPort() == loadBalancer.port()) {
                handleReadiness(exchange);
            } else {
                handler.handleRequest(exchange);
            }
        };
        Undertow started = Undertow.builder()
                .addHttpListener(callers.port(), callers.ip())
                .addHttpListener(loadBalancer.port(), loadBalancer.ip())
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HttpRequestHead.MAX_BYTES)
                // ReadDelayMonitor observes a single thread.
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(new io.undertow.server.handlers.HttpContinueReadHandler(byListener))
                .build();
        try {
            started.start();
        } catch (RuntimeException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "cannot listen on " + callers + " or " + loadBalancer, e);
        }
        readDelay.start(started.getWorker().getIoThread());
        server = started;
    }

    private void handleReadiness(HttpServerExchange exchange) {
        boolean isReadyPath =
                exchange.getRequestPath().equals(context.protocol().readyPath());
        boolean ready = ready();
        if (ready != lastLoggedReady) {
            lastLoggedReady = ready;
            LogEventKind.READINESS_CHANGED.log(
                    LOG, Level.INFO, ready, draining ? "shutdown" : "routing table and host list");
        }
        exchange.setStatusCode(!isReadyPath ? 404 : ready ? 200 : 503);
        exchange.getResponseSender().send(ready ? "ready\n" : "not ready\n");
    }

    /** Adds peer addresses at which control members are looked up. */
    public void addControlSeeds(List<Address> seeds) {
        context.routeWatcher().addSeeds(seeds);
    }

    @Override
    public boolean ready() {
        return !draining && context.canRoute();
    }

    /**
     * Fails the readiness probe at once and refuses new requests after the grace period. The future completes when the
     * grace period is over and no request is open. Requests that are open shortly before the process is killed are
     * answered with an error.
     */
    @Override
    public CompletableFuture<Void> drain() {
        draining = true;
        long limitMillis = options.shutdownLimitMillis().orElse(Long.MAX_VALUE);
        // Half of the time is left for the requests that were accepted.
        long graceMillis = Math.min(options.shutdownGraceMillis(), limitMillis / 2);
        var unused = context.timer().schedule(this::finishDrain, graceMillis, TimeUnit.MILLISECONDS);
        if (options.shutdownLimitMillis().isPresent()) {
            long marginMillis = Math.min(ERROR_RESPONSE_MILLIS, limitMillis / 4);
            context.openCalls().endBy(context.clock().nowMillis() + limitMillis - marginMillis);
        }
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
        int gateways = context.routeWatcher().gatewayCount();
        return new GatewayDump(
                ready(),
                draining,
                context.routeWatcher().routes().table().version(),
                context.routeWatcher().ageMillis(),
                context.registry().listAgeMillis(),
                gateways,
                handler.openRequests(),
                context.retryBudgets().minRemaining(gateways, context.clock().nowMillis()),
                context.registry().states(),
                context.registry().ownWork(),
                context.workspaceLimits().hasShares(),
                WorkspaceStates.of(context),
                context.quarantine().entries(),
                KeyDump.of(
                        context.routeWatcher().routes().authenticator().orElse(null),
                        options.revocation(),
                        context.routeWatcher().ageMillis()),
                usage.map(UsageMeter::dump).orElse(null),
                WorkspaceStates.quotasOf(context));
    }

    @Override
    public synchronized void close() {
        context.routeWatcher().close();
        listReader.close();
        Undertow running = server;
        if (running != null) {
            running.stop();
            server = null;
        }
        context.client().close();
        drained.complete(null);
    }
}
