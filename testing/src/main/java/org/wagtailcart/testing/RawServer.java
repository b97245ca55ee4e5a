package org.wagtailcart.testing;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wagtailcart.common.Address;

/** Server on the loopback address whose script reads requests and writes responses byte by byte as it likes. */
public final class RawServer implements AutoCloseable {
    private static final Pattern LENGTH = Pattern.compile("(?im)^content-length: *([0-9]+)\r?$");

    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();
    private final Script script;

    /** Script for one connection, which is closed when the script returns or fails. */
    @FunctionalInterface
    public interface Script {
        /** Serves a connection. */
        void serve(Socket socket) throws IOException;
    }

    /** Starts a server that runs a script for each connection. */
    public RawServer(Script script) throws IOException {
        this.script = script;
        threads.execute(this::accept);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    /** Returns the number of connections that were accepted. */
    public int connections() {
        return connections.get();
    }

    /** Reads the head of a request; returns an empty text if the connection has ended. */
    public static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.append((char) next);
            if (head.length() >= 4 && head.indexOf("\r\n\r\n", head.length() - 4) >= 0) {
                return head.toString();
            }
        }
        return "";
    }

    /** Reads a request with its body; returns its head. */
    public static String readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            in.skipNBytes(Long.parseLong(length.group(1)));
        }
        return head;
    }

    /** Returns the value of a field of a request head, empty if it has none. */
    public static String field(String head, String name) {
        Matcher field = Pattern.compile("(?im)^" + Pattern.quote(name) + ": *([^\r\n]*)\r?$")
                .matcher(head);
        return field.find() ? field.group(1) : "";
    }

    /** Writes a text in pieces of random lengths. */
    public static void write(Socket socket, String text, Random random) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int start = 0; start < bytes.length; ) {
            int length = Math.min(bytes.length - start, 1 + random.nextInt(bytes.length));
            socket.getOutputStream().write(bytes, start, length);
            start += length;
        }
    }

    /** Makes the end of a connection a reset rather than a regular end. */
    public static void resetOnClose(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
    }

    private void accept() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                // With Nagle's algorithm, a reset would discard what waits for an acknowledgement.
                socket.setTcpNoDelay(true);
                connections.incrementAndGet();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            script.serve(socket);
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
