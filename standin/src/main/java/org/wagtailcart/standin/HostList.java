package org.wagtailcart.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;

/** Stand-in server for the platform's list of live and leaving hosts; it reports changes after a fixed lag. */
public final class HostList implements AutoCloseable {
    /**
     * Options of a host list.
     *
     * @param listen address of its HTTP listener
     * @param lagMillis age of the reported list
     */
    public record Options(Address listen, long lagMillis) {}

    /**
     * An entry of the list.
     *
     * @param host name of the host
     * @param state {@code live} or {@code leaving}; a removed host is not listed
     */
    public record Host(String host, String state) {}

    private record Change(long atMillis, String host, String state) {}

    private final Options options;
    private final MillisClock clock = MillisClock.monotonic();
    private final List<Change> changes = new ArrayList<>();
    private volatile @Nullable HttpListener listener;

    /** Creates a list without starting its listener. */
    public HostList(Options options) {
        this.options = options;
    }

    /** Opens the listener. */
    public void start() {
        listener = new HttpListener(options.listen(), this::handle);
    }

    /** Closes the listener. */
    @Override
    public void close() {
        HttpListener current = listener;
        if (current != null) {
            current.close();
        }
    }

    /** Sets the state of a host; {@code removed} removes it from the list. */
    public synchronized void set(String host, String state) {
        changes.add(new Change(clock.nowMillis(), host, state));
    }

    /** Returns the hosts as they were listed {@link Options#lagMillis} ago. */
    public synchronized List<Host> hosts() {
        long until = clock.nowMillis() - options.lagMillis();
        Map<String, Host> listed = new LinkedHashMap<>();
        changes.stream().filter(change -> change.atMillis() <= until).forEach(change -> apply(listed, change));
        return List.copyOf(listed.values());
    }

    private static void apply(Map<String, Host> listed, Change change) {
        if (change.state().equals("removed")) {
            listed.remove(change.host());
        } else {
            listed.put(change.host(), new Host(change.host(), change.state()));
        }
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (exchange.getRequestMethod().equals(Methods.PUT)) {
            String state = HttpListener.query(exchange, "state");
            set(path.substring(path.lastIndexOf('/') + 1), state);
        }
        HttpListener.respond(exchange, 200, hosts());
    }
}
