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

/** TCP relay that can drop the bytes of its connections silently, without closing them. */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_LIMIT_MILLIS = 5_000;

    /**
     * Options of a relay.
     *
     * @param listen address that is relayed
     * @param target address that connections are relayed to
     * @param control address of the HTTP listener that sets the mode, null for none
     */
    public record Options(Address listen, Address target, @Nullable Address control) {}

    /**
     * What the relay does with bytes.
     *
     * @param dropToTarget whether bytes towards the target are dropped
     * @param dropToClient whether bytes towards the client are dropped
     * @param existingOnly whether connections made from now on work
     */
    public record Mode(boolean dropToTarget, boolean dropToClient, boolean existingOnly) {
        /** All bytes are passed on. */
        public static final Mode PASS = new Mode(false, false, false);
    }

    /** Answer to a request that sets the mode. */
    private record ModeAnswer(Mode mode, int connections) {}

    /** One relayed connection. */
    private final class Link {
        private final Socket client;
        private final Socket server;
        private volatile Mode mode;

        Link(Socket client, Socket server, Mode mode) {
            this.client = client;
            this.server = server;
            this.mode = mode;
        }

        void start() {
            executor.execute(() -> pump(client, server, true));
            executor.execute(() -> pump(server, client, false));
        }

        private void pump(Socket from, Socket to, boolean towardsTarget) {
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
            links.remove(this);
            closeQuietly(client);
            closeQuietly(server);
        }
    }

    private final Options options;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile Mode modeOfNew = Mode.PASS;
    private volatile @Nullable ServerSocket listener;
    private volatile @Nullable HttpListener control;

    /** Creates a relay that does not run yet. */
    public Relay(Options options) {
        this.options = options;
    }

    /** Starts to relay. */
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
        List.copyOf(links).forEach(Link::close);
        executor.shutdownNow();
    }

    /** Sets what happens to the bytes of the open connections and, unless the mode says otherwise, of later ones. */
    public void setMode(Mode mode) {
        modeOfNew = mode.existingOnly() ? Mode.PASS : mode;
        links.forEach(link -> link.mode = mode);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return links.size();
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
                    CONNECT_LIMIT_MILLIS);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            Link link = new Link(client, server, modeOfNew);
            links.add(link);
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
        HttpListener.answer(exchange, 200, new ModeAnswer(modeOfNew, connections()));
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            // It is closed either way.
            return;
        }
    }
}
