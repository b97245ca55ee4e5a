package org.wagtailcart.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.wagtailcart.common.Address;

/**
 * Source of loopback addresses for the servers of a test.
 *
 * <p>The ports are below the range from which the operating system picks the ports of outgoing connections. A port of
 * that range may be taken by a connection between the search for it and the start of the server.
 */
public final class TestAddresses {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int FIRST_PORT = 10_000;
    /** First port of outgoing connections on Linux unless it is configured otherwise. */
    static final int FIRST_EPHEMERAL_PORT = 32_768;

    private static final AtomicInteger NEXT = new AtomicInteger(initialOffset());

    private TestAddresses() {}

    /** Returns an address at which no server listens and which is not returned again in this process. */
    public static Address free() {
        return IntStream.generate(TestAddresses::nextPort)
                .filter(TestAddresses::isFree)
                .mapToObj(port -> new Address(LOOPBACK, port))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a start that differs between test processes that run at the same time. */
    private static int initialOffset() {
        return (int) (ProcessHandle.current().pid() * 101 % (FIRST_EPHEMERAL_PORT - FIRST_PORT));
    }

    private static int nextPort() {
        return FIRST_PORT + NEXT.getAndIncrement() % (FIRST_EPHEMERAL_PORT - FIRST_PORT);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
