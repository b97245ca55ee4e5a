package org.wagtailcart.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtailcart.common.Address;

/** HTTP server in trouble: it answers each request with the same bytes over and over, until the client closes. */
public final class EndlessServer implements AutoCloseable {
    /** Bytes for one client after which the server gives up, so that a test without a limit ends. */
    private static final long MAX_BYTES_PER_CLIENT = 128L << 20;

    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicLong acceptedBytes = new AtomicLong();
    private final byte[] start;
    private final byte[] repeated;

    /** Starts a server on the loopback address that sends a start once and then the repeated bytes. */
    public EndlessServer(String start, String repeated) throws IOException {
        this.start = start.getBytes(StandardCharsets.ISO_8859_1);
        this.repeated = repeated.getBytes(StandardCharsets.ISO_8859_1);
        threads.execute(this::accept);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    /** Returns the bytes that all clients and the buffers of their sockets have accepted. */
    public long acceptedBytes() {
        return acceptedBytes.get();
    }

    private void accept() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            int unused = socket.getInputStream().read(new byte[4_096]);
            OutputStream out = socket.getOutputStream();
            out.write(start);
            for (long sent = 0; sent < MAX_BYTES_PER_CLIENT; sent += repeated.length) {
                out.write(repeated);
                acceptedBytes.addAndGet(repeated.length);
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }
}
