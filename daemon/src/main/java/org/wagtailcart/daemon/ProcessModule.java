package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.control.client.ControlMessages;
import org.wagtailcart.control.orders.OrderLeaseMessages;
import org.wagtailcart.coordination.RaftMessageTypes;
import org.wagtailcart.fleet.FleetMessages;
import org.wagtailcart.once.KeyMessages;
import org.wagtailcart.routes.RoutesMessages;
import org.wagtailcart.settings.SettingsMessages;
import org.wagtailcart.settings.process.ProcessSettings;
import org.wagtailcart.sidecar.message.SidecarMessages;
import org.wagtailcart.usage.UsageMessages;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.wire.WireOptions;

/** Dagger module of the objects that a process has regardless of its roles: threads, codec and peer connections. */
@Module
final class ProcessModule {
    private ProcessModule() {}

    @Provides
    @Singleton
    static IoLoop ioLoop() {
        return new IoLoop("peer-io");
    }

    @Provides
    @Singleton
    static MessageCodec codec() {
        return new MessageCodec(List.of(
                RaftMessageTypes.TYPES,
                SettingsMessages.TYPES,
                KeyMessages.TYPES,
                FleetMessages.TYPES,
                ControlMessages.TYPES,
                OrderLeaseMessages.TYPES,
                RoutesMessages.TYPES,
                UsageMessages.TYPES,
                SidecarMessages.TYPES));
    }

    @Provides
    @Singleton
    static PeerDispatcher dispatcher() {
        return new PeerDispatcher();
    }

    /** With discovery enabled, silent connections are also detected sooner. */
    @Provides
    @Singleton
    static WireOptions wireOptions(ProcessSettings settings) {
        return settings.discovery().enabled() ? WireOptions.lowLatency() : WireOptions.standard();
    }

    /** Executor for requests and replies of peers; it never applies entries to the control state. */
    @Provides
    @Singleton
    static ExecutorService traffic() {
        return Executors.newCachedThreadPool(DaemonThreads.numbered("traffic-"));
    }

    @Provides
    @Singleton
    static ScheduledExecutorService timer() {
        return Executors.newScheduledThreadPool(1, DaemonThreads.numbered("timer-"));
    }

    @Provides
    @Singleton
    static PeerClient peers(
            IoLoop loop, MessageCodec codec, ExecutorService traffic, WireOptions options, MetricRegistry registry) {
        return new PeerClient(loop, codec, traffic, options, registry);
    }
}
