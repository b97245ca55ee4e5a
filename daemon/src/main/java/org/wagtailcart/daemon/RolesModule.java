package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import javax.inject.Singleton;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.ControlOptions;
import org.wagtailcart.control.ControlRole;
import org.wagtailcart.control.ControlState;
import org.wagtailcart.control.PolicyPlanner;
import org.wagtailcart.control.capacity.CapacityController;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.control.client.ControlClientImpl;
import org.wagtailcart.control.client.ProcessIdentity;
import org.wagtailcart.control.client.SyncLoop;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.orders.EngineRoleController;
import org.wagtailcart.control.orders.OrderLeaseHolder;
import org.wagtailcart.control.usage.UsageReporter;
import org.wagtailcart.coordination.InitialMember;
import org.wagtailcart.coordination.RaftLog;
import org.wagtailcart.coordination.RaftOptions;
import org.wagtailcart.coordination.RaftTuning;
import org.wagtailcart.coordination.ReplicatedLog;
import org.wagtailcart.entry.ControlLossPolicy;
import org.wagtailcart.entry.EntryOptions;
import org.wagtailcart.entry.EntryRole;
import org.wagtailcart.entry.admission.BoundedQueueAdmission;
import org.wagtailcart.entry.admission.RatioRetryBudget;
import org.wagtailcart.gateway.GatewayOptions;
import org.wagtailcart.gateway.GatewayRole;
import org.wagtailcart.once.IdempotencyKeyRegistry;
import org.wagtailcart.platform.ConfigApi;
import org.wagtailcart.platform.PlatformCapacityClient;
import org.wagtailcart.platform.PlatformClient;
import org.wagtailcart.platform.PlatformControlService;
import org.wagtailcart.platform.PlatformDuty;
import org.wagtailcart.platform.PlatformEngineControlClient;
import org.wagtailcart.platform.PlatformHostList;
import org.wagtailcart.platform.PlatformRequestProtocol;
import org.wagtailcart.platform.PlatformUsageClient;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.policy.routing.LoadAwareRouter;
import org.wagtailcart.settings.process.MemberAddress;
import org.wagtailcart.settings.process.PlatformSettings;
import org.wagtailcart.settings.process.ProcessSettings;
import org.wagtailcart.settings.process.UsageReportSettings;
import org.wagtailcart.sidecar.SidecarOptions;
import org.wagtailcart.sidecar.SidecarRole;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.workspace.RevocationPolicy;

/** Dagger module of the roles and the objects they share. Each is created only if the settings enable it. */
@Module
final class RolesModule {
    private RolesModule() {}

    @Provides
    @Singleton
    static ControlClient controlClient(
            PeerClient peers, MessageCodec codec, ProcessSettings settings, ScheduledExecutorService timer) {
        return new ControlClientImpl(peers, codec, configuredMemberAddresses(settings), timer);
    }

    @Provides
    @Singleton
    static SyncLoop syncLoop(
            ProcessSettings settings,
            Incarnation incarnation,
            PeerClient peers,
            MessageCodec codec,
            ScheduledExecutorService timer,
            LoadReports reports) {
        String roles = settings.roles().stream()
                .map(role -> role.name().toLowerCase(Locale.ROOT))
                .filter(role -> !role.equals("control"))
                .sorted()
                .collect(Collectors.joining(","));
        ProcessIdentity identity = new ProcessIdentity(
                settings.id(), incarnation.number(), roles, settings.host(), settings.failureDomain());
        return new SyncLoop(identity, configuredMemberAddresses(settings), peers, codec, timer, reports::collect);
    }

    @Provides
    @Singleton
    static ControlState controlState(MessageCodec codec) {
        return new ControlState(codec, new KeyRegistryStateMachine(new IdempotencyKeyRegistry()));
    }

    @Provides
    @Singleton
    static ReplicatedLog log(
            ProcessSettings settings,
            ControlState state,
            PeerClient peers,
            PeerDispatcher dispatcher,
            MetricRegistry registry) {
        Path folder = Path.of(required(settings.dataFolder(), "process", "data-folder"));
        Address address = required(settings.peerListener(), "listen", "peer");
        RaftOptions options = new RaftOptions(
                memberId(settings),
                address,
                folder,
                initialMembers(settings),
                settings.discovery().seeds(),
                settings.discovery().toleratedLosses(),
                settings.discovery().enabled() ? RaftTuning.lowLatency() : RaftTuning.standard());
        return RaftLog.open(options, state, peers, dispatcher, registry);
    }

    @Provides
    @Singleton
    static ControlRole control(
            ProcessSettings settings,
            Lazy<OperatorToken> token,
            ReplicatedLog log,
            ControlState state,
            MessageCodec codec,
            PeerDispatcher dispatcher,
            PeerClient peers,
            MetricRegistry registry,
            ExecutorService traffic,
            ScheduledExecutorService timer) {
        ControlOptions options = settings.operatorListener()
                .map(operator -> ControlOptions.defaults(operator, token.get().value()))
                .orElseGet(() -> ControlOptions.defaults(null, ""));
        return new ControlRole(
                options, log, state, codec, dispatcher, peers, new PolicyPlanner(), registry, traffic, timer);
    }

    @Provides
    @Singleton
    static EntryRole entry(
            ProcessSettings settings,
            Incarnation incarnation,
            ControlClient control,
            SyncLoop view,
            PeerClient peers,
            ScheduledExecutorService timer,
            MetricRegistry registry) {
        EntryOptions options = new EntryOptions(
                required(settings.callerListener(), "listen", "caller"),
                ControlLossPolicy.valueOf(settings.controlLossPolicy().name()),
                settings.shutdownGraceMillis());
        return new EntryRole(
                options,
                control,
                view,
                peers,
                new LoadAwareRouter(incarnation.number()),
                new BoundedQueueAdmission(),
                new RatioRetryBudget(),
                timer,
                MillisClock.monotonic(),
                registry);
    }

    @Provides
    @Singleton
    static SidecarRole sidecar(
            ProcessSettings settings,
            Incarnation incarnation,
            ControlClient control,
            SyncLoop view,
            PeerDispatcher dispatcher,
            ExecutorService traffic,
            ScheduledExecutorService timer,
            MetricRegistry registry) {
        Address address = required(settings.peerListener(), "listen", "peer");
        SidecarOptions options = SidecarOptions.standard(settings.id(), address, incarnation.number());
        return new SidecarRole(options, control, view, dispatcher, traffic, timer, registry);
    }

    @Provides
    @Singleton
    static PlatformClient platformClient() {
        return new PlatformClient();
    }

    @Provides
    @Singleton
    static PlatformHostList hostList(PlatformClient client, ProcessSettings settings) {
        return new PlatformHostList(client, platform(settings).hostListAddress());
    }

    @Provides
    @Singleton
    static PlatformControlService platformControl(
            ProcessSettings settings,
            ControlRole control,
            ControlState state,
            PlatformClient client,
            PlatformHostList list,
            ExecutorService traffic) {
        PlatformSettings platform = platform(settings);
        OrderLeaseHolder lease = new OrderLeaseHolder(
                memberId(settings), control.leadership(), platform.orderLeaseMillis(), MillisClock.monotonic());
        EngineRoleController roleController = new EngineRoleController(
                memberId(settings),
                lease,
                state::routes,
                settings.regions(),
                control::trafficSeen,
                control::engineRates,
                control.gatewayPublisher(),
                list,
                new PlatformEngineControlClient(client),
                platform.orderLeaseMillis());
        Address listen = required(platform.controlListener(), "platform", "control-listener");
        Optional<UsageReporter> usageReporter = usageReports(platform)
                .map(usage -> control.usageReporter(
                        settings.id(),
                        lease,
                        new PlatformUsageClient(client, platform.hostListAddress()),
                        usage.windowMillis(),
                        usage.lateMillis()));
        Optional<CapacityController> capacityController = PlatformDuty.REPLICA_ORDERS.isContainedIn(platform.duties())
                ? Optional.of(control.capacityController(
                        settings.id(), lease, new PlatformCapacityClient(client, platform.hostListAddress())))
                : Optional.empty();
        return new PlatformControlService(
                new ConfigApi(settings.id(), listen, control, traffic),
                roleController,
                usageReporter,
                capacityController,
                list);
    }

    @Provides
    @Singleton
    static GatewayRole gateway(
            ProcessSettings settings,
            PeerClient peers,
            PlatformHostList list,
            ExecutorService traffic,
            ScheduledExecutorService timer,
            MetricRegistry registry) {
        GatewayOptions options = new GatewayOptions(
                settings.id(),
                new Location(settings.failureDomain(), settings.regions()),
                required(settings.callerListener(), "listen", "caller"),
                required(settings.readinessListener(), "listen", "ready"),
                seedOrMemberAddresses(settings),
                settings.retryBudget().ratio(),
                settings.retryBudget().reserve(),
                settings.retryBudget().windowMillis(),
                settings.shutdownGraceMillis(),
                settings.shutdownLimitMillis(),
                new RevocationPolicy(
                        settings.workspaces().strictRevoke(),
                        settings.workspaces().revokeLimitMillis()),
                usageReports(platform(settings)).stream()
                        .mapToLong(UsageReportSettings::windowMillis)
                        .findFirst());
        return new GatewayRole(
                options,
                (member, request, timeoutMillis) -> peers.call(member, request, WatchReply.class, timeoutMillis),
                new PeerOriginTransport(peers),
                list,
                new PlatformRequestProtocol(),
                traffic,
                timer,
                registry);
    }

    /** Returns the settings of the usage reports, empty if the platform asks for none. */
    private static Optional<UsageReportSettings> usageReports(PlatformSettings platform) {
        return PlatformDuty.USAGE_REPORTS.isContainedIn(platform.duties())
                ? Optional.of(platform.usageReports())
                : Optional.empty();
    }

    private static PlatformSettings platform(ProcessSettings settings) {
        return required(settings.platform(), "platform", "host-list");
    }

    private static List<Address> seedOrMemberAddresses(ProcessSettings settings) {
        return settings.discovery().enabled() ? settings.discovery().seeds() : configuredMemberAddresses(settings);
    }

    /** Returns the member id: the peer IP address with discovery enabled, where seeds are known only by address. */
    private static String memberId(ProcessSettings settings) {
        return settings.discovery().enabled()
                ? required(settings.peerListener(), "listen", "peer").ip()
                : settings.id();
    }

    private static List<InitialMember> initialMembers(ProcessSettings settings) {
        if (!settings.discovery().enabled()) {
            return settings.members().stream()
                    .map(member -> new InitialMember(member.memberId(), member.address()))
                    .toList();
        }
        return settings.discovery().mayBootstrap()
                ? settings.discovery().seeds().stream()
                        .map(seed -> new InitialMember(seed.ip(), seed))
                        .toList()
                : List.of();
    }

    private static List<Address> configuredMemberAddresses(ProcessSettings settings) {
        return settings.members().stream().map(MemberAddress::address).toList();
    }

    private static <T> T required(Optional<T> value, String section, String key) {
        return value.orElseThrow(() ->
                new WagtailcartException(ResultCode.INVALID_SETTINGS_FILE, "[" + section + "] " + key + " is missing"));
    }
}
