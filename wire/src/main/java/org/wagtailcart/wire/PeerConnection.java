package org.wagtailcart.wire;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * TCP connection that multiplexes exchanges. Channel reads and writes and deadline checks run on the loop's thread;
 * frames may be queued from any thread.
 */
final class PeerConnection implements Consumer<SelectionKey> {
    private static final Logger LOG = System.getLogger(PeerConnection.class.getName());
    private static final int INITIAL_READ_BYTES = 4 << 10;
    /** Most frames in one gathering write. */
    private static final int MAX_WRITE_BATCH = 64;

    /** Listener for the events of a connection, called on the loop's thread. */
    interface Listener {
        void onConnected(PeerConnection connection);

        void onFrame(PeerConnection connection, Frame frame);

        void onClosed(PeerConnection connection, WagtailcartException reason);
    }

    private final IoLoop loop;
    private final SocketChannel channel;
    private final String remote;
    private final WireOptions options;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final Listener listener;
    private final Queue<ByteBuffer> writeQueue = new ConcurrentLinkedQueue<>();
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    private final Map<Long, Object> exchanges = new ConcurrentHashMap<>();

    private ByteBuffer readBuffer = ByteBuffer.allocate(INITIAL_READ_BYTES);
    private @Nullable SelectionKey key;
    private volatile @Nullable WagtailcartException closeReason;
    private volatile boolean connected;
    private long connectDeadlineMillis = Long.MAX_VALUE;
    private long nextPingMillis = Long.MAX_VALUE;
    private long pongDeadlineMillis = Long.MAX_VALUE;

    PeerConnection(
            IoLoop loop,
            SocketChannel channel,
            String remote,
            WireOptions options,
            WireMetrics metrics,
            Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.remote = remote;
        this.options = options;
        this.codec = new FrameCodec(options.maxFrameBytes());
        this.metrics = metrics;
        this.listener = listener;
    }

    String remote() {
        return remote;
    }

    boolean isClosed() {
        return closeReason != null;
    }

    /** Returns why the connection was closed, or null while it is open. */
    @Nullable
    WagtailcartException closeReason() {
        return closeReason;
    }

    /** Returns whether the connection is established. */
    boolean isConnected() {
        return connected;
    }

    /** Returns the open exchanges by id; the owner of the connection chooses the type of the values. */
    Map<Long, Object> exchanges() {
        return exchanges;
    }

    /** Registers an accepted channel; runs on the loop's thread. */
    void startAccepted() {
        key = loop.register(channel, SelectionKey.OP_READ, this);
        nextPingMillis = loop.clock().nowMillis() + options.pingIntervalMillis();
        connected = true;
        listener.onConnected(this);
    }

    /** Registers a channel whose connect is in progress; runs on the loop's thread. */
    void startConnecting() {
        connectDeadlineMillis = loop.clock().nowMillis() + options.connectTimeoutMillis();
        key = loop.register(channel, SelectionKey.OP_CONNECT, this);
    }

    /**
     * Queues a frame for writing; does nothing on a closed connection.
     *
     * @throws WagtailcartException with {@link ResultCode#FRAME_TOO_LARGE} when the frame exceeds the limit
     */
    void send(Frame frame) {
        ByteBuffer bytes = codec.encode(frame);
        if (isClosed()) {
            return;
        }
        queuedBytes.addAndGet(bytes.remaining());
        writeQueue.add(bytes);
        metrics.framesOut().mark();
        if (flushScheduled.compareAndSet(false, true)) {
            loop.submit(this::scheduledFlush);
        }
        if (queuedBytes.get() > options.maxQueuedBytes()) {
            closeAsync(new WagtailcartException(
                    ResultCode.CONNECTION_SILENT,
                    "peer " + remote + " does not read from the connection; write queue is full"));
        }
    }

    /**
     * Moves the next PING forward to at most one ping interval from now, so that a connection that fell silent while
     * idle is detected early.
     */
    void advanceNextPing() {
        loop.submit(() -> {
            if (nextPingMillis != Long.MAX_VALUE) {
                nextPingMillis = Math.min(nextPingMillis, loop.clock().nowMillis() + options.pingIntervalMillis());
            }
        });
    }

    void closeAsync(WagtailcartException reason) {
        loop.submit(() -> close(reason));
    }

    /** Closes the connection; runs on the loop's thread. */
    void close(WagtailcartException reason) {
        if (closeReason != null) {
            return;
        }
        closeReason = reason;
        try {
            channel.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, LogEvent.of("channel-close-failed", "peer", remote, "reason", e.getMessage()));
        }
        writeQueue.clear();
        listener.onClosed(this, reason);
    }

    /**
     * Checks deadlines and sends a PING when one is due; runs on the loop's thread.
     *
     * @param pauseMillis time for which this process was paused; extends the PONG deadline
     */
    void tick(long nowMillis, long pauseMillis) {
        if (pongDeadlineMillis != Long.MAX_VALUE) {
            pongDeadlineMillis += pauseMillis;
        }
        if (nowMillis >= connectDeadlineMillis) {
            close(new WagtailcartException(ResultCode.CONNECT_FAILED, "connecting to " + remote + " timed out"));
            return;
        }
        if (nowMillis >= pongDeadlineMillis) {
            metrics.silentConnections().mark();
            LOG.log(Level.WARNING, LogEvent.of("connection-silent", "peer", remote, "code", 2005));
            close(new WagtailcartException(
                    ResultCode.CONNECTION_SILENT, "peer " + remote + " sent no PONG within the timeout"));
            return;
        }
        if (nowMillis >= nextPingMillis) {
            ping(nowMillis);
        }
    }

    private void ping(long nowMillis) {
        send(Frame.withoutPayload(FrameKind.PING, 0));
        pongDeadlineMillis = Math.min(pongDeadlineMillis, nowMillis + options.pongTimeoutMillis());
        nextPingMillis =
                nowMillis + (exchanges.isEmpty() ? options.idlePingIntervalMillis() : options.pingIntervalMillis());
    }

    @Override
    public void accept(SelectionKey ready) {
        try {
            if (ready.isConnectable()) {
                finishConnect();
            }
            if (ready.isValid() && ready.isReadable()) {
                read();
            }
            if (ready.isValid() && ready.isWritable()) {
                flush();
            }
        } catch (IOException e) {
            close(new WagtailcartException(ResultCode.CONNECTION_LOST, "connection to " + remote + " broke", e));
        } catch (WagtailcartException e) {
            LOG.log(
                    Level.WARNING,
                    LogEvent.of(
                            "frame-rejected", "peer", remote, "code", e.code().number(), "text", e.getMessage()));
            metrics.rejectedFrames().mark();
            close(e);
        }
    }

    private void finishConnect() {
        try {
            channel.finishConnect();
        } catch (IOException e) {
            close(new WagtailcartException(ResultCode.CONNECT_FAILED, "cannot connect to " + remote, e));
            return;
        }
        connectDeadlineMillis = Long.MAX_VALUE;
        nextPingMillis = loop.clock().nowMillis() + options.pingIntervalMillis();
        setInterest(SelectionKey.OP_READ);
        connected = true;
        listener.onConnected(this);
    }

    private void read() throws IOException {
        int count = channel.read(readBuffer);
        if (count < 0) {
            close(new WagtailcartException(ResultCode.CONNECTION_LOST, "peer " + remote + " closed the connection"));
            return;
        }
        readBuffer.flip();
        Frame frame = codec.decode(readBuffer);
        while (frame != null && !isClosed()) {
            metrics.framesIn().mark();
            dispatch(frame);
            frame = codec.decode(readBuffer);
        }
        resizeReadBuffer();
    }

    private void resizeReadBuffer() {
        int needed = readBuffer.remaining() >= FrameCodec.LENGTH_BYTES
                ? FrameCodec.LENGTH_BYTES + readBuffer.getInt(readBuffer.position())
                : INITIAL_READ_BYTES;
        if (needed > readBuffer.capacity()) {
            readBuffer = ByteBuffer.allocate(needed).put(readBuffer);
        } else if (!readBuffer.hasRemaining() && readBuffer.capacity() > 16 * INITIAL_READ_BYTES) {
            readBuffer = ByteBuffer.allocate(INITIAL_READ_BYTES);
        } else {
            readBuffer.compact();
        }
    }

    private void dispatch(Frame frame) {
        switch (frame.kind()) {
            case PING -> send(Frame.withoutPayload(FrameKind.PONG, 0));
            case PONG -> pongDeadlineMillis = Long.MAX_VALUE;
            default -> listener.onFrame(this, frame);
        }
    }

    /** Clears the flag before the queue is read, so that a frame added during the flush schedules another flush. */
    private void scheduledFlush() {
        flushScheduled.set(false);
        flush();
    }

    private void flush() {
        if (isClosed() || key == null || !channel.isConnected()) {
            return;
        }
        try {
            while (!writeQueue.isEmpty()) {
                ByteBuffer[] batch = writeQueue.stream().limit(MAX_WRITE_BATCH).toArray(ByteBuffer[]::new);
                long written = channel.write(batch);
                queuedBytes.addAndGet(-written);
                List.of(batch).stream().filter(buffer -> !buffer.hasRemaining()).forEach(done -> writeQueue.poll());
                if (batch[batch.length - 1].hasRemaining()) {
                    setInterest(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
            }
            setInterest(SelectionKey.OP_READ);
        } catch (IOException e) {
            close(new WagtailcartException(ResultCode.CONNECTION_LOST, "connection to " + remote + " broke", e));
        }
    }

    private void setInterest(int operations) {
        if (key != null && key.isValid()) {
            key.interestOps(operations);
        }
    }
}
