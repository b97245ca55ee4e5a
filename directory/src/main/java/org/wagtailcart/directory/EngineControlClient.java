package org.wagtailcart.directory;

import java.util.List;
import org.wagtailcart.common.EngineRole;

/** Client of the engines' control API: queries and orders. Methods block up to a short timeout. */
public interface EngineControlClient {
    /**
     * Returns the state that an engine reports.
     *
     * @throws org.wagtailcart.common.WagtailcartException when the engine returns no valid response
     */
    ReportedEngineState readState(ListedUpstream engine);

    /**
     * Returns the prompt segments in an engine's KV cache. The query delays the engine's work slightly.
     *
     * @throws org.wagtailcart.common.WagtailcartException when the engine returns no valid response
     */
    List<CachedPromptSegment> cachedSegments(ListedUpstream engine);

    /**
     * Orders an engine to change its role.
     *
     * @param holder process that gives the order
     * @param fencingToken token of the lease under which the order is given
     * @param expectedOrderCount number of orders that the engine must have accepted before, else it rejects this one
     */
    OrderOutcome changeRole(
            ListedUpstream engine, EngineRole role, String holder, long fencingToken, long expectedOrderCount);
}
