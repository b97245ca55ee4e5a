package org.wagtailcart.control.http;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.control.ControlOptions;
import org.wagtailcart.control.ControlRole;
import org.wagtailcart.control.ControlState;
import org.wagtailcart.control.EmptyKeyStateMachine;
import org.wagtailcart.control.FleetPlanner;
import org.wagtailcart.control.Samples;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.ReplicatedLog;
import org.wagtailcart.coordination.SingleMemberLog;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.wire.PeerServer;
import org.wagtailcart.wire.WireOptions;

/** Control member over a single-member log, with peer and operator listeners on free local ports. */
public final class ControlFixture implements AutoCloseable {
    public static final String TOKEN = "secret";

    public final Address peerAddress = TestAddresses.free();
    public final Address operatorAddress = TestAddresses.free();
    public final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    public final PeerClient peers;
    public final ControlState state;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final IoLoop loop = new IoLoop("fixture-io");
    private final MetricRegistry registry = new MetricRegistry();
    private final ReplicatedLog log;
    private final PeerServer server;
    private final ControlRole role;

    /** Starts the leader. */
    public ControlFixture(FleetPlanner planner) {
        this(planner, null);
    }

    /** Starts a follower of another fixture. It shares the leader's state and so is never behind. */
    ControlFixture(FleetPlanner planner, @Nullable ControlFixture leader) {
        state = leader == null ? new ControlState(Samples.CODEC, new EmptyKeyStateMachine()) : leader.state;
        Member self = new Member(leader == null ? "c1" : "c2", 1, peerAddress, true);
        SingleMemberLog local = new SingleMemberLog(self, state);
        log = leader == null
                ? local
                : new FollowerLog(local, self, leader.log.status().self());
        PeerDispatcher dispatcher = new PeerDispatcher();
        peers = new PeerClient(loop, Samples.CODEC, executor, WireOptions.standard(), registry);
        server = new PeerServer(
                loop, peerAddress, Samples.CODEC, dispatcher, executor, WireOptions.standard(), registry);
        // Shorter than the 12 s of production, since a leader must observe syncs for one lease to report "in force".
        ControlOptions options = new ControlOptions(operatorAddress, TOKEN, 2_000, 50, 50);
        role = new ControlRole(
                options, log, state, Samples.CODEC, dispatcher, peers, planner, registry, executor, scheduler);
        role.start();
        server.start();
    }

    @Override
    public void close() {
        role.close();
        scheduler.shutdownNow();
        peers.close();
        server.close();
        log.close();
        loop.close();
        executor.shutdownNow();
    }
}
