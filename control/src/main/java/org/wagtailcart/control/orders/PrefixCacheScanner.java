package org.wagtailcart.control.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.CachedPromptSegment;
import org.wagtailcart.directory.EngineControlClient;
import org.wagtailcart.directory.ListedUpstream;

/**
 * Queries each engine once for its cached prompt segments after this member has become the leader. Gateways and control
 * members lose this information on a restart while the engines keep their caches; without the scan all prompts would be
 * prefilled again. Used by one thread.
 */
final class PrefixCacheScanner {
    private static final Logger LOG = System.getLogger(PrefixCacheScanner.class.getName());

    private final EngineControlClient engines;
    private final Consumer<PrefixCacheUpdate> listener;
    private final Executor executor;
    private final Set<String> scannedIds = new HashSet<>();

    /**
     * Creates a scanner that has queried no engine.
     *
     * @param listener receives the cached segments of an engine, on a thread of the executor
     * @param executor runs the queries, which block
     */
    PrefixCacheScanner(EngineControlClient engines, Consumer<PrefixCacheUpdate> listener, Executor executor) {
        this.engines = engines;
        this.listener = listener;
        this.executor = executor;
    }

    /** Clears the set of queried engines, since another leader may receive prefix updates that this member misses. */
    void reset() {
        scannedIds.clear();
    }

    /** Queries the engines in service that were not queried yet. */
    void scan(List<ListedUpstream> upstreams) {
        scannedIds.retainAll(
                upstreams.stream().map(ListedUpstream::instanceId).collect(Collectors.toUnmodifiableSet()));
        upstreams.stream()
                .filter(upstream -> upstream.role() != null && !upstream.leaving())
                .filter(upstream -> scannedIds.add(upstream.instanceId()))
                .forEach(upstream -> executor.execute(() -> scan(upstream)));
    }

    private void scan(ListedUpstream engine) {
        try {
            List<CachedPromptSegment> segments = engines.cachedSegments(engine);
            LogEventKind.CACHE_SURVEYED.log(LOG, Level.INFO, engine.instanceId(), segments.size(), "");
            if (!segments.isEmpty()) {
                listener.accept(new PrefixCacheUpdate(
                        engine.instanceId(),
                        segments.stream().map(CachedPromptSegment::id).toList(),
                        segments.stream().map(CachedPromptSegment::tokens).toList()));
            }
        } catch (WagtailcartException e) {
            LogEventKind.CACHE_SURVEYED.log(LOG, Level.INFO, engine.instanceId(), 0, e.getMessage());
        }
    }
}
