package org.wagtailcart.coordination;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.wire.PeerServer;
import org.wagtailcart.wire.WireOptions;

/** Member with real files and loopback connections in the test process. */
final class LoopbackMember implements AutoCloseable {
    private static final MessageCodec CODEC = new MessageCodec(List.of(RaftMessageTypes.TYPES));

    private final ExecutorService executor = Executors.newCachedThreadPool(DaemonThreads.named("test-peer"));
    private final IoLoop loop;
    private final PeerServer server;
    private final PeerClient client;
    private final MetricRegistry registry = new MetricRegistry();
    final StateMachine stateMachine;
    final RaftLog log;

    LoopbackMember(
            InitialMember self, Path folder, List<InitialMember> initial, RaftTuning tuning, StateMachine machine) {
        this.stateMachine = machine;
        loop = new IoLoop("test-io-" + self.memberId());
        PeerDispatcher dispatcher = new PeerDispatcher();
        client = new PeerClient(loop, CODEC, executor, WireOptions.standard(), registry);
        log = RaftLog.open(
                new RaftOptions(self.memberId(), self.address(), folder, initial, tuning),
                machine,
                client,
                dispatcher,
                registry);
        server = new PeerServer(loop, self.address(), CODEC, dispatcher, executor, WireOptions.standard(), registry);
        server.start();
    }

    MetricRegistry registry() {
        return registry;
    }

    @Override
    public void close() {
        log.close();
        client.close();
        server.close();
        loop.close();
        executor.shutdownNow();
    }
}
