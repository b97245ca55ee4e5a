package org.wagtailcart.directory;

import java.util.List;
import org.wagtailcart.common.EngineRole;

/** Orders and questions to engines. Methods block within a short limit. */
public interface EngineControlClient {
    /**
     * Asks an engine for its state.
     *
     * @throws org.wagtailcart.common.WagtailcartException when it gives no understandable answer
     */
    ReportedEngineState readState(ListedUpstream engine);

    /**
     * Asks an engine which parts of prompts it holds; this delays its work a little.
     *
     * @throws org.wagtailcart.common.WagtailcartException when it gives no understandable answer
     */
    List<CachedPromptSegment> cachedSegments(ListedUpstream engine);

    /**
     * Orders an engine to take a role.
     *
     * @param holder process that gives the order
     * @param fencingToken token of the lease under which it is given
     * @param expectedOrderCount number of orders after which alone the engine may take it
     */
    OrderOutcome changeRole(
            ListedUpstream engine, EngineRole role, String holder, long fencingToken, long expectedOrderCount);
}
