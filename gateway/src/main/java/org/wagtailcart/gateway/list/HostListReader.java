package org.wagtailcart.gateway.list;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.directory.HostList;

/** Background poller that reads the host list itself when the control group has not delivered a recent one. */
public final class HostListReader implements AutoCloseable {
    private static final Logger LOG = System.getLogger(HostListReader.class.getName());
    private static final long CHECK_MILLIS = 200;
    /**
     * Age of the host list from which the gateway reads it itself. It is below the drain limit, because a gateway must
     * observe a leaving upstream before that upstream stops.
     */
    private static final long READ_FROM_AGE_MILLIS = 1_400;

    private final HostList list;
    private final UpstreamRegistry registry;
    private final MillisClock clock;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("list-reader"));
    private Optional<String> failure = Optional.empty();

    /** Creates a reader; {@link #start()} begins to poll. */
    public HostListReader(HostList list, UpstreamRegistry book, MillisClock clock) {
        this.list = list;
        this.registry = book;
        this.clock = clock;
    }

    /** Starts polling. */
    public void start() {
        ScheduledFuture<?> unused =
                thread.scheduleWithFixedDelay(this::readIfDue, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    private void readIfDue() {
        if (registry.listAgeMillis() < READ_FROM_AGE_MILLIS) {
            return;
        }
        long startMillis = clock.nowMillis();
        try {
            registry.applyHostList(list.read(), startMillis, "read");
            failure.ifPresent(before -> LogEventKind.LIST_REGAINED.log(LOG, Level.INFO, registry.hasHostList()));
            failure = Optional.empty();
        } catch (WagtailcartException e) {
            if (failure.isEmpty()) {
                LogEventKind.LIST_LOST.log(LOG, Level.WARNING, e.getMessage());
            }
            failure = Optional.of(String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "cannot apply the host list", e);
        }
    }
}
