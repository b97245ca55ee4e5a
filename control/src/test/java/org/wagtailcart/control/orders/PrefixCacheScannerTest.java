package org.wagtailcart.control.orders;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.CachedPromptSegment;
import org.wagtailcart.directory.EngineControlClient;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;
import org.wagtailcart.directory.ReportedEngineState;

/** Guards against prompts that are prefilled again, although engines cache them, after all processes have restarted. */
class PrefixCacheScannerTest {
    private final List<String> scannedIds = new ArrayList<>();
    private final List<PrefixCacheUpdate> updates = new ArrayList<>();
    private final PrefixCacheScanner scanner = new PrefixCacheScanner(new Engines(), updates::add, Runnable::run);

    /** Engines of which "down" does not respond and "empty" has no cached segments. */
    private final class Engines implements EngineControlClient {
        @Override
        public ReportedEngineState readState(ListedUpstream engine) {
            throw new AssertionError("no report is needed");
        }

        @Override
        public List<CachedPromptSegment> cachedSegments(ListedUpstream engine) {
            scannedIds.add(engine.instanceId());
            return switch (engine.instanceId()) {
                case "down" -> throw new WagtailcartException(ResultCode.UPSTREAM_FAILED, "down");
                case "empty" -> List.of();
                default -> List.of(new CachedPromptSegment("5c1e07a2", 800), new CachedPromptSegment("91bd3f06", 410));
            };
        }

        @Override
        public OrderOutcome changeRole(
                ListedUpstream engine, EngineRole role, String holder, long fencingToken, long expectedOrderCount) {
            throw new AssertionError("no order is needed");
        }
    }

    private static ListedUpstream upstream(String id, boolean leaving, @Nullable EngineRole role) {
        return new ListedUpstream(id, "brain", new Address("10.0.0.1", 80), "fes", 64, leaving, role);
    }

    private static List<ListedUpstream> all() {
        return List.of(
                upstream("down", false, EngineRole.PREFILL),
                upstream("empty", false, EngineRole.DECODE),
                upstream("full", false, EngineRole.PREFILL),
                upstream("leaving", true, EngineRole.PREFILL),
                upstream("stock", false, null));
    }

    @Test
    void publishesTheCachedSegmentsOfEngines() {
        scanner.scan(all());
        assertThat(updates)
                .containsExactly(new PrefixCacheUpdate("full", List.of("5c1e07a2", "91bd3f06"), List.of(800, 410)));
    }

    /** A query delays the engine, so each engine is queried once per term, even when it does not respond. */
    @Test
    void eachEngineIsScannedOncePerTerm() {
        scanner.scan(all());
        scanner.scan(all());
        assertThat(scannedIds).containsExactly("down", "empty", "full");
        scanner.reset();
        scanner.scan(all());
        assertThat(scannedIds).hasSize(6);
    }
}
