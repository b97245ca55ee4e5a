package org.wagtailcart.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Event loop: one thread that reads and writes all peer connections of a process and checks their deadlines. */
public final class IoLoop implements AutoCloseable {
    private static final Logger LOG = System.getLogger(IoLoop.class.getName());
    /** Interval at which the deadlines of connections are checked. */
    private static final long TICK_MILLIS = 100;

    private final Selector selector;
    private final MillisClock clock;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ExecutorService executor;
    private volatile boolean closed;
    private long nextTickMillis;

    /** Creates a loop and starts its thread under the given name. */
    public IoLoop(String name) {
        this(name, MillisClock.monotonic());
    }

    IoLoop(String name, MillisClock clock) {
        this.clock = clock;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        executor = Executors.newSingleThreadExecutor(DaemonThreads.named(name));
        executor.execute(this::run);
    }

    MillisClock clock() {
        return clock;
    }

    /** Queues a task for the loop's thread. */
    void submit(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /**
     * Binds a listener. Peers can connect once this returns, but their frames are not read before
     * {@link #startAccepting}.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the address cannot be bound
     */
    ServerSocketChannel bind(Address address) {
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            try {
                server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                server.bind(address.toSocketAddress());
                server.configureBlocking(false);
            } catch (IOException e) {
                server.close();
                throw e;
            }
            return server;
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "cannot listen on " + address, e);
        }
    }

    /** Starts accepting connections; the consumer is called on the loop's thread. */
    void startAccepting(ServerSocketChannel server, Consumer<SocketChannel> onAccepted) {
        submit(() -> register(server, SelectionKey.OP_ACCEPT, key -> accept(server, onAccepted)));
    }

    /** Registers a channel; must run on the loop's thread. */
    SelectionKey register(java.nio.channels.SelectableChannel channel, int operations, Consumer<SelectionKey> onReady) {
        try {
            return channel.register(selector, operations, onReady);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        executor.shutdown();
        try {
            executor.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(ServerSocketChannel server, Consumer<SocketChannel> onAccepted) {
        try {
            SocketChannel channel = server.accept();
            if (channel != null) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                onAccepted.accept(channel);
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, LogEvent.of("accept-failed", "reason", e.getMessage()));
        }
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(TICK_MILLIS);
                runTasks();
                selector.selectedKeys().forEach(IoLoop::runReadyHandler);
                selector.selectedKeys().clear();
                tick();
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.ERROR, LogEvent.of("io-loop-error", "reason", e), e);
            }
        }
        selector.keys().forEach(IoLoop::closeKey);
        try {
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, LogEvent.of("selector-close-failed", "reason", e.getMessage()));
        }
    }

    private void runTasks() {
        Runnable task = tasks.poll();
        while (task != null) {
            runLoggingErrors(task);
            task = tasks.poll();
        }
    }

    private static void runLoggingErrors(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.of("io-task-error", "reason", e), e);
        }
    }

    @SuppressWarnings("unchecked")
    private static void runReadyHandler(SelectionKey key) {
        runLoggingErrors(() -> {
            if (key.isValid()) {
                ((Consumer<SelectionKey>) key.attachment()).accept(key);
            }
        });
    }

    private void tick() {
        long nowMillis = clock.nowMillis();
        if (nowMillis < nextTickMillis) {
            return;
        }
        // After a pause of this process, PONGs may be waiting unread, so their deadlines are extended by the pause.
        long pauseMillis = nextTickMillis == 0 ? 0 : Math.max(0, nowMillis - nextTickMillis - TICK_MILLIS);
        nextTickMillis = nowMillis + TICK_MILLIS;
        List.copyOf(selector.keys()).stream()
                .map(SelectionKey::attachment)
                .filter(PeerConnection.class::isInstance)
                .map(PeerConnection.class::cast)
                .forEach(connection -> runLoggingErrors(() -> connection.tick(nowMillis, pauseMillis)));
    }

    private static void closeKey(SelectionKey key) {
        try {
            if (key.attachment() instanceof PeerConnection connection) {
                connection.close(new WagtailcartException(ResultCode.CONNECTION_LOST, "this process is stopping"));
            }
            key.channel().close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, LogEvent.of("channel-close-failed", "reason", e.getMessage()));
        }
    }
}
