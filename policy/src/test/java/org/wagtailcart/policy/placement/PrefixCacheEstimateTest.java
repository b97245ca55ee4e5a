package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against cache estimates that count segments which the engine cannot reuse or has evicted. */
class PrefixCacheEstimateTest {
    private static final PrefixCacheEstimate.Segment MANUAL = new PrefixCacheEstimate.Segment("manual", 600);
    private static final PrefixCacheEstimate.Segment CHAPTER = new PrefixCacheEstimate.Segment("chapter", 300);
    private static final PrefixCacheEstimate.Segment OTHER = new PrefixCacheEstimate.Segment("other", 500);

    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(1_000);

    @Test
    void aSegmentCountsOnlyAfterAllBeforeIt() {
        cache.recordPrefill(List.of(CHAPTER));
        assertThat(cache.cachedTokens(List.of(MANUAL, CHAPTER))).isEqualTo(0);
        cache.recordPrefill(List.of(MANUAL));
        assertThat(cache.cachedTokens(List.of(MANUAL, CHAPTER, OTHER))).isEqualTo(900);
    }

    @Test
    void theLeastRecentlyUsedSegmentsAreEvictedFirst() {
        cache.recordPrefill(List.of(MANUAL));
        cache.recordPrefill(List.of(CHAPTER));
        cache.recordPrefill(List.of(MANUAL));
        cache.recordPrefill(List.of(OTHER));
        assertThat(cache.cachedTokens(List.of(CHAPTER))).isEqualTo(0);
        assertThat(cache.cachedTokens(List.of(OTHER))).isEqualTo(500);
    }

    /**
     * Guards against a capacity of 0 that stays: engines may be listed before the routing table gives their capacity.
     */
    @Test
    void aCapacitySetLaterTakesEffect() {
        PrefixCacheEstimate late = new PrefixCacheEstimate(0);
        late.recordPrefill(List.of(MANUAL));
        assertThat(late.cachedTokens(List.of(MANUAL))).isEqualTo(0);
        late.setCapacityTokens(1_000);
        late.recordPrefill(List.of(MANUAL));
        assertThat(late.cachedTokens(List.of(MANUAL))).isEqualTo(600);
    }
}
