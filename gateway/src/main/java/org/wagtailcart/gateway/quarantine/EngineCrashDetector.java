package org.wagtailcart.gateway.quarantine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.gateway.list.Upstream;

/**
 * Detects upstreams that end while they answer requests. A stream that breaks off may also be the fault of its connection
 * or of a single response, so an engine counts as crashed only if it refuses the next connection. Thread safe.
 */
public final class EngineCrashDetector {
    private static final Logger LOG = System.getLogger(EngineCrashDetector.class.getName());
    /** Time for which broken streams of an engine are collected before its listener is checked. */
    private static final long COLLECT_MILLIS = 50;
    /**
     * Time after its first output within which a request may be the cause. An engine crashes as it begins to answer, and
     * a gateway may read that output late.
     */
    private static final long MAX_OUTPUT_MILLIS = 250;

    private final PromptQuarantine quarantine;
    private final Predicate<Address> refusesConnections;
    private final Executor requestExecutor;
    private final ScheduledExecutorService timer;
    private final MillisClock clock;
    private final Map<String, BrokenStreams> brokenByEngine = new HashMap<>();

    /** Streams of one engine that broke off shortly after each other. */
    private record BrokenStreams(long firstAtMillis, List<List<String>> prompts) {}

    /**
     * Creates a detector.
     *
     * @param refusesConnections whether nothing listens at an address of a reachable host; may block
     */
    public EngineCrashDetector(
            PromptQuarantine quarantine,
            Predicate<Address> refusesConnections,
            Executor requestExecutor,
            ScheduledExecutorService timer,
            MillisClock clock) {
        this.quarantine = quarantine;
        this.refusesConnections = refusesConnections;
        this.requestExecutor = requestExecutor;
        this.timer = timer;
        this.clock = clock;
    }

    /**
     * Records that the connection of a stream, or of a prefill, broke off.
     *
     * @param suspectIds shared segments of its prompt and the key of the request
     * @param firstOutputAtMillis monotonic time of its first output, -1 if there was none
     */
    public void onConnectionLost(Upstream engine, List<String> suspectIds, long firstOutputAtMillis) {
        long nowMillis = clock.nowMillis();
        boolean begun = firstOutputAtMillis >= 0 && nowMillis - firstOutputAtMillis > MAX_OUTPUT_MILLIS;
        if (suspectIds.isEmpty() || begun) {
            return;
        }
        synchronized (this) {
            BrokenStreams collecting = brokenByEngine.get(engine.id());
            if (collecting != null) {
                collecting.prompts().add(suspectIds);
                return;
            }
            brokenByEngine.put(engine.id(), new BrokenStreams(nowMillis, new ArrayList<>(List.of(suspectIds))));
        }
        try {
            ScheduledFuture<?> unused = timer.schedule(() -> startCheck(engine), COLLECT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, "engine " + engine.id() + " is not checked: the gateway is stopping");
        }
    }

    private void startCheck(Upstream engine) {
        BrokenStreams broken = remove(engine);
        if (broken == null) {
            return;
        }
        try {
            requestExecutor.execute(() -> check(engine, broken));
        } catch (RejectedExecutionException e) {
            LOG.log(Level.WARNING, "engine " + engine.id() + " is not checked: no thread is free");
        }
    }

    private void check(Upstream engine, BrokenStreams broken) {
        if (!refusesConnections.test(engine.address())) {
            return;
        }
        LogEventKind.UPSTREAM_CRASHED.log(
                LOG,
                Level.WARNING,
                engine.id(),
                engine.address(),
                broken.prompts().size(),
                broken.prompts());
        quarantine.recordCrash(engine.id(), broken.prompts(), broken.firstAtMillis());
    }

    private synchronized @Nullable BrokenStreams remove(Upstream engine) {
        return brokenByEngine.remove(engine.id());
    }
}
