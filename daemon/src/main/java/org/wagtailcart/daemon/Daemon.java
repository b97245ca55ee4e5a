package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Lazy;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.control.ControlRole;
import org.wagtailcart.control.client.SyncLoop;
import org.wagtailcart.coordination.ReplicatedLog;
import org.wagtailcart.entry.EntryRole;
import org.wagtailcart.gateway.GatewayRole;
import org.wagtailcart.platform.PlatformControlService;
import org.wagtailcart.settings.process.PlatformSettings;
import org.wagtailcart.settings.process.ProcessRole;
import org.wagtailcart.settings.process.ProcessSettings;
import org.wagtailcart.sidecar.SidecarRole;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.wire.PeerServer;
import org.wagtailcart.wire.WireOptions;

/** The daemon of one process. It starts the configured roles, and drains and closes them on shutdown. */
@Singleton
final class Daemon {
    private static final Logger LOG = System.getLogger(Daemon.class.getName());

    /** Longest time that a shutdown waits for the requests of one role; above the largest deadline a caller may set. */
    private static final long DRAIN_LIMIT_MILLIS = 3_700_000;

    private final ProcessSettings settings;
    private final Incarnation incarnation;
    private final IoLoop loop;
    private final MessageCodec codec;
    private final PeerDispatcher dispatcher;
    private final PeerClient peers;
    private final ExecutorService trafficExecutor;
    private final MetricRegistry registry;
    private final LoadReports loadReports;
    private final Lazy<OperatorToken> token;
    private final Lazy<SyncLoop> syncLoop;
    private final Lazy<ReplicatedLog> replicatedLog;
    private final Lazy<ControlRole> control;
    private final Lazy<SidecarRole> sidecar;
    private final Lazy<EntryRole> entry;
    private final Lazy<GatewayRole> gateway;
    private final Lazy<PlatformControlService> platformControl;
    private final WireOptions wireOptions;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private List<RoleService> roles = List.of();
    private Optional<MetricsListener> metricsListener = Optional.empty();
    private @Nullable PeerServer peerServer;
    private @Nullable OperatorListener operatorListener;

    @Inject
    Daemon(
            ProcessSettings settings,
            Incarnation incarnation,
            IoLoop loop,
            MessageCodec codec,
            PeerDispatcher dispatcher,
            PeerClient peers,
            ExecutorService traffic,
            MetricRegistry registry,
            LoadReports reports,
            Lazy<OperatorToken> token,
            Lazy<SyncLoop> sync,
            Lazy<ReplicatedLog> log,
            Lazy<ControlRole> control,
            Lazy<SidecarRole> sidecar,
            Lazy<EntryRole> entry,
            Lazy<GatewayRole> gateway,
            Lazy<PlatformControlService> platformControl,
            WireOptions wireOptions) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.loop = loop;
        this.codec = codec;
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.trafficExecutor = traffic;
        this.registry = registry;
        this.loadReports = reports;
        this.token = token;
        this.syncLoop = sync;
        this.replicatedLog = log;
        this.control = control;
        this.sidecar = sidecar;
        this.entry = entry;
        this.gateway = gateway;
        this.platformControl = platformControl;
        this.wireOptions = wireOptions;
    }

    /**
     * Starts the roles and listeners. The peer port is bound first: it serves as a mutex that prevents a second
     * instance from acting while a paused one exists. Requests are handled once all roles have registered their
     * handlers.
     */
    void start() {
        settings.peerListener()
                .ifPresent(address -> peerServer =
                        new PeerServer(loop, address, codec, dispatcher, trafficExecutor, wireOptions, registry));
        roles = settings.roles().stream()
                .sorted(Comparator.comparing(ProcessRole::name))
                .flatMap(this::createRole)
                .toList();
        if (usesSync()) {
            syncLoop.get().start();
        }
        roles.forEach(RoleService::start);
        Optional.ofNullable(peerServer).ifPresent(PeerServer::start);
        startOperatorListener();
        metricsListener = settings.metricsListener().map(address -> new MetricsListener(address, registry, this::dump));
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        "process-started", "id", settings.id(), "host", settings.host(), "roles", settings.roles()));
    }

    /** Applies the settings that may change at run time: seeds, which a gateway adds to its control members. */
    void reload(ProcessSettings latest) {
        if (settings.roles().contains(ProcessRole.GATEWAY)) {
            gateway.get().addControlSeeds(latest.discovery().seeds());
        }
    }

    /** Drains all roles, entry roles first, then closes the roles, listeners and connections. */
    void shutDown() {
        LOG.log(Level.INFO, LogEvent.of("shutdown-started", "id", settings.id()));
        List<RoleService> inDrainOrder = roles.stream()
                .sorted(Comparator.comparing(role -> role instanceof EntryRole ? 0 : 1))
                .toList();
        inDrainOrder.forEach(this::drain);
        inDrainOrder.forEach(RoleService::close);
        Optional.ofNullable(operatorListener).ifPresent(OperatorListener::close);
        metricsListener.ifPresent(MetricsListener::close);
        if (usesSync()) {
            syncLoop.get().close();
        }
        if (settings.roles().contains(ProcessRole.CONTROL)) {
            replicatedLog.get().close();
        }
        Optional.ofNullable(peerServer).ifPresent(PeerServer::close);
        peers.close();
        loop.close();
        LOG.log(Level.INFO, LogEvent.of("process-stopped", "id", settings.id()));
        stopped.countDown();
    }

    /** Blocks until {@link #shutDown} has completed. */
    void awaitStop() throws InterruptedException {
        stopped.await();
    }

    /** Returns the state of the process and its roles. */
    ProcessDump dump() {
        List<ProcessDump.RoleDump> states = roles.stream()
                .map(role -> new ProcessDump.RoleDump(role.getClass().getSimpleName(), role.ready(), role.dump()))
                .toList();
        int connections = peers.connectionCount()
                + Optional.ofNullable(peerServer)
                        .map(PeerServer::connectionCount)
                        .orElse(0);
        return new ProcessDump(
                settings.id(), settings.host(), settings.failureDomain(), incarnation.number(), connections, states);
    }

    private Stream<RoleService> createRole(ProcessRole role) {
        return switch (role) {
            case CONTROL -> createControl();
            case SIDECAR -> Stream.of(createSidecar());
            case ENTRY -> Stream.of(createEntry());
            case GATEWAY -> Stream.of(gateway.get());
        };
    }

    private Stream<RoleService> createControl() {
        boolean onPlatform =
                settings.platform().flatMap(PlatformSettings::controlListener).isPresent();
        return onPlatform ? Stream.of(control.get(), platformControl.get()) : Stream.of(control.get());
    }

    private RoleService createSidecar() {
        SidecarRole created = sidecar.get();
        loadReports.add(created::collectLoadReports);
        return created;
    }

    private RoleService createEntry() {
        EntryRole created = entry.get();
        loadReports.add(created::collectLoadReports);
        return created;
    }

    private boolean usesSync() {
        return settings.roles().stream().anyMatch(role -> role == ProcessRole.ENTRY || role == ProcessRole.SIDECAR);
    }

    private void startOperatorListener() {
        if (settings.roles().contains(ProcessRole.CONTROL)) {
            return;
        }
        settings.operatorListener().ifPresent(address -> {
            OperatorListener listener = new OperatorListener(address, token.get(), roles, this::dump, registry);
            listener.start();
            operatorListener = listener;
        });
    }

    private void drain(RoleService role) {
        CompletableFuture<Void> drained = role.drain();
        try {
            drained.orTimeout(DRAIN_LIMIT_MILLIS, TimeUnit.MILLISECONDS).join();
        } catch (RuntimeException e) {
            LOG.log(
                    Level.WARNING,
                    LogEvent.of("drain-incomplete", "role", role.getClass().getSimpleName(), "reason", e));
        }
    }
}
