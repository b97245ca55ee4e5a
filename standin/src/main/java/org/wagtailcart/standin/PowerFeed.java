package org.wagtailcart.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;

/** Stand-in for the power feed that engines share: when more engines than its limit run hard, all slow down. */
public final class PowerFeed implements AutoCloseable {
    private static final long REPORT_LIFE_MILLIS = 1_000;

    /** Answer to an engine's report. */
    private record PowerAnswer(long hard, long limit, double slowdown) {}

    private final Address listen;
    private final Map<String, Long> hardAtMillis = new ConcurrentHashMap<>();
    private final MillisClock clock = MillisClock.monotonic();
    private volatile long limit;
    private volatile @Nullable HttpListener listener;

    /** Creates a feed for the given number of engines that run hard. */
    public PowerFeed(Address listen, int limit) {
        this.listen = listen;
        this.limit = limit;
    }

    /** Starts to serve. */
    public void start() {
        listener = new HttpListener(listen, this::handle);
    }

    /** Changes the number of engines that may run hard. */
    public void setLimit(long engines) {
        limit = engines;
    }

    /** Stops to serve. */
    @Override
    public void close() {
        HttpListener current = listener;
        if (current != null) {
            current.close();
        }
    }

    /** Reports an engine and returns the factor by which its steps take longer; 1 when the feed is away. */
    static double report(Address feed, Address engine, boolean hard) {
        try {
            byte[] answer = HttpFetch.get(feed, "/power/" + engine + "?hard=" + hard);
            return Json.read(answer, PowerAnswer.class).slowdown();
        } catch (IOException e) {
            return 1;
        }
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/standin/limit")) {
            setLimit(HttpListener.queryNumber(exchange, "engines"));
        } else if (exchange.getQueryString().equals("hard=true")) {
            hardAtMillis.put(exchange.getRequestPath(), clock.nowMillis());
        } else {
            hardAtMillis.remove(exchange.getRequestPath());
        }
        HttpListener.answer(exchange, 200, answer());
    }

    private PowerAnswer answer() {
        long since = clock.nowMillis() - REPORT_LIFE_MILLIS;
        long hard = hardAtMillis.values().stream().filter(at -> at >= since).count();
        // Twice as many as allowed take twice as long, and a half more for the shed load.
        double slowdown = hard <= limit ? 1 : 1.5 * hard / Math.max(1L, limit);
        return new PowerAnswer(hard, limit, slowdown);
    }
}
