package org.wagtailcart.control.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.wire.Exchange;

/** The gateways that wait for a newer routing table. Safe for use by several threads. */
public final class RouteWatches {
    /** Time for which a question waits; a gateway learns at least this often that its table is still confirmed. */
    static final long HOLD_MILLIS = 250;

    private record Waiting(Exchange exchange, WatchRequest request, long deadlineMillis) {}

    private final Supplier<RouteTable> table;
    private final Supplier<RaftStatus> status;
    private final Supplier<Long> confirmationAgeMillis;
    private final DirectoryFeed feed;
    private final MillisClock clock;
    private final GatewayBook book = new GatewayBook();
    private final PrefixUpdateLog prefixUpdates = new PrefixUpdateLog();
    private List<Waiting> waiting = new ArrayList<>();

    /**
     * Creates it.
     *
     * @param confirmationAgeMillis time since this member was confirmed; read before the table
     */
    public RouteWatches(
            Supplier<RouteTable> table,
            Supplier<RaftStatus> status,
            Supplier<Long> confirmationAgeMillis,
            DirectoryFeed feed,
            MillisClock clock) {
        this.table = table;
        this.status = status;
        this.confirmationAgeMillis = confirmationAgeMillis;
        this.feed = feed;
        this.clock = clock;
    }

    /** Answers a question at once when there is a newer table, otherwise lets it wait. */
    public void watch(Exchange exchange, Object message) {
        WatchRequest request = (WatchRequest) message;
        long nowMillis = clock.nowMillis();
        synchronized (this) {
            book.heard(request, nowMillis);
            prefixUpdates.add(request.processId(), request.prefixUpdates());
            if (!isNewer(request, nowMillis)) {
                waiting.add(new Waiting(exchange, request, nowMillis + HOLD_MILLIS));
                return;
            }
        }
        exchange.finish(buildReply(request));
    }

    /** Answers the questions that a newer table or the passing of time makes due. */
    public void replyDue() {
        long nowMillis = clock.nowMillis();
        List<Waiting> due = new ArrayList<>();
        synchronized (this) {
            List<Waiting> left = new ArrayList<>();
            waiting.forEach(item -> {
                boolean isDue = item.deadlineMillis() <= nowMillis || isNewer(item.request(), nowMillis);
                (isDue ? due : left).add(item);
            });
            waiting = left;
        }
        due.forEach(item -> item.exchange().finish(buildReply(item.request())));
    }

    private boolean isNewer(WatchRequest request, long nowMillis) {
        DirectoryFeed.Listing listing = feed.listing();
        return table.get().version() > request.knownVersion()
                || (listing.isFresh(nowMillis) && listing.version() != request.knownDirectory());
    }

    private WatchReply buildReply(WatchRequest request) {
        long ageMillis = confirmationAgeMillis.get();
        RaftStatus log = status.get();
        RouteTable current = table.get();
        long nowMillis = clock.nowMillis();
        DirectoryFeed.Listing listing = feed.listing();
        boolean fresh = listing.isFresh(nowMillis);
        synchronized (this) {
            PrefixUpdateLog.Page page = prefixUpdates.after(request.prefixUpdateCursor(), request.processId());
            return new WatchReply(
                    current.version() > request.knownVersion() ? current : null,
                    current.version(),
                    ageMillis,
                    log.leader().map(Member::address).map(Address::toString).orElse(""),
                    log.membership().members().stream()
                            .map(member -> member.address().toString())
                            .toList(),
                    book.count(nowMillis),
                    book.workOfOthers(request.processId()),
                    page.notes(),
                    page.cursor(),
                    fresh ? listing.version() : 0,
                    fresh && listing.version() != request.knownDirectory() ? listing.upstreams() : null,
                    nowMillis - listing.readAtMillis());
        }
    }

    /** Tells all gateways what an engine holds. */
    public synchronized void note(PrefixCacheUpdate note) {
        prefixUpdates.add("", List.of(note));
    }

    /** Returns whether any gateway ever had work in flight. */
    public boolean trafficSeen() {
        synchronized (this) {
            return book.trafficSeen();
        }
    }
}
