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
import org.wagtailcart.directory.EnginePort;
import org.wagtailcart.directory.EngineReport;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;

/** What is learned of the engines' memories after all processes of the system have started anew. */
class PrefixCacheScannerTest {
    private final List<String> asked = new ArrayList<>();
    private final List<PrefixCacheUpdate> notes = new ArrayList<>();
    private final PrefixCacheScanner survey = new PrefixCacheScanner(new Engines(), notes::add, Runnable::run);

    /** The engine "down" does not answer, the engine "empty" holds nothing. */
    private final class Engines implements EnginePort {
        @Override
        public EngineReport report(ListedUpstream engine) {
            throw new AssertionError("no report is needed");
        }

        @Override
        public List<CachedPromptSegment> cachedSegments(ListedUpstream engine) {
            asked.add(engine.instanceId());
            return switch (engine.instanceId()) {
                case "down" -> throw new WagtailcartException(ResultCode.UPSTREAM_FAILED, "down");
                case "empty" -> List.of();
                default -> List.of(new CachedPromptSegment("5c1e07a2", 800), new CachedPromptSegment("91bd3f06", 410));
            };
        }

        @Override
        public OrderOutcome orderRole(
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
        survey.ask(all());
        assertThat(notes)
                .containsExactly(new PrefixCacheUpdate("full", List.of("5c1e07a2", "91bd3f06"), List.of(800, 410)));
    }

    /** The question delays an engine, so that it is asked once in a term, also when it does not answer. */
    @Test
    void eachEngineIsAskedOnceInATerm() {
        survey.ask(all());
        survey.ask(all());
        assertThat(asked).containsExactly("down", "empty", "full");
        survey.reset();
        survey.ask(all());
        assertThat(asked).hasSize(6);
    }
}
