package org.wagtailcart.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/** TCP relay that simulates unresponsive connections: it can drop bytes without closing the connection. */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

    /**
     * Options of a relay.
     *
     * @param listen address to accept connections on
     * @param target address that connections are relayed to
     * @param control address of the HTTP listener that sets the mode, null for none
     */
    public record Options(Address listen, Address target, @Nullable Address control) {}

    /**
     * Which bytes the relay drops.
     *
     * @param dropToTarget whether bytes towards the target are dropped
     * @param dropToClient whether bytes towards the client are dropped
     * @param existingOnly whether new connections are relayed without drops
     */
    public record Mode(boolean dropToTarget, boolean dropToClient, boolean existingOnly) {
        /** Drops nothing. */
        public static final Mode PASS = new Mode(false, false, false);
    }

    /** Response to a request that sets the mode. */
    private record ModeResponse(Mode mode, int connections) {}

    /** A relayed connection: the client's socket and the one to the target. */
    private final class RelayedConnection {
        private final Socket client;
        private final Socket server;
        private volatile Mode mode;

        RelayedConnection(Socket client, Socket server, Mode mode) {
            this.client = client;
            this.server = server;
            this.mode = mode;
        }

        void start() {
            executor.execute(() -> copy(client, server, true));
            executor.execute(() -> copy(server, client, false));
        }

        private void copy(Socket from, Socket to, boolean towardsTarget) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    boolean drop = towardsTarget ? mode.dropToTarget() : mode.dropToClient();
                    if (!drop) {
                        out.write(buffer, 0, read);
                    }
                }
                close();
            } catch (IOException e) {
                close();
            }
        }

        void close() {
            openConnections.remove(this);
            closeQuietly(client);
            closeQuietly(server);
        }
    }

    private final Options options;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Set<RelayedConnection> openConnections = ConcurrentHashMap.newKeySet();
    private volatile Mode newConnectionMode = Mode.PASS;
    private volatile @Nullable ServerSocket listener;
    private volatile @Nullable HttpListener control;

    /** Creates a relay without starting its listener. */
    public Relay(Options options) {
        this.options = options;
    }

    /** Opens the listener and, if configured, the HTTP listener that sets the mode. */
    public void start() {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(
                    options.listen().ip(), options.listen().port()));
            listener = socket;
            executor.execute(() -> accept(socket));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (options.control() != null) {
            control = new HttpListener(options.control(), this::handle);
        }
    }

    /** Closes the listener and all connections. */
    @Override
    public void close() {
        ServerSocket socket = listener;
        if (socket != null) {
            closeQuietly(socket);
        }
        HttpListener http = control;
        if (http != null) {
            http.close();
        }
        List.copyOf(openConnections).forEach(RelayedConnection::close);
        executor.shutdownNow();
    }

    /** Sets the mode of the open connections and, unless it applies to existing ones only, of new connections. */
    public void setMode(Mode mode) {
        newConnectionMode = mode.existingOnly() ? Mode.PASS : mode;
        openConnections.forEach(link -> link.mode = mode);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return openConnections.size();
    }

    private void accept(ServerSocket socket) {
        try {
            while (!socket.isClosed()) {
                connect(socket.accept());
            }
        } catch (IOException e) {
            // The listener was closed.
            closeQuietly(socket);
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        try {
            server.connect(
                    new InetSocketAddress(
                            options.target().ip(), options.target().port()),
                    CONNECT_TIMEOUT_MILLIS);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            RelayedConnection link = new RelayedConnection(client, server, newConnectionMode);
            openConnections.add(link);
            link.start();
        } catch (IOException e) {
            closeQuietly(client);
            closeQuietly(server);
        }
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        byte[] body = HttpListener.body(exchange);
        if (body.length > 0) {
            setMode(Json.read(body, Mode.class));
        }
        HttpListener.respond(exchange, 200, new ModeResponse(newConnectionMode, connections()));
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            // A failed close leaves nothing else to release.
            return;
        }
    }
}
