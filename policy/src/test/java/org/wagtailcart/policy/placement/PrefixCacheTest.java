package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheTest {
    private static final PrefixCache.Part MANUAL = new PrefixCache.Part("manual", 600);
    private static final PrefixCache.Part CHAPTER = new PrefixCache.Part("chapter", 300);
    private static final PrefixCache.Part OTHER = new PrefixCache.Part("other", 500);

    private final PrefixCache cache = new PrefixCache(1_000);

    @Test
    void aPartCountsOnlyAfterAllBeforeIt() {
        cache.read(List.of(CHAPTER));
        assertThat(cache.cachedTokens(List.of(MANUAL, CHAPTER))).isEqualTo(0);
        cache.read(List.of(MANUAL));
        assertThat(cache.cachedTokens(List.of(MANUAL, CHAPTER, OTHER))).isEqualTo(900);
    }

    @Test
    void theLeastRecentlyUsedPartsLeaveFirst() {
        cache.read(List.of(MANUAL));
        cache.read(List.of(CHAPTER));
        cache.read(List.of(MANUAL));
        cache.read(List.of(OTHER));
        assertThat(cache.cachedTokens(List.of(CHAPTER))).isEqualTo(0);
        assertThat(cache.cachedTokens(List.of(OTHER))).isEqualTo(500);
    }

    /** Engines may be listed before the routing table tells their memory. */
    @Test
    void aCapacityThatIsLearnedLaterCounts() {
        PrefixCache late = new PrefixCache(0);
        late.read(List.of(MANUAL));
        assertThat(late.cachedTokens(List.of(MANUAL))).isEqualTo(0);
        late.capacity(1_000);
        late.read(List.of(MANUAL));
        assertThat(late.cachedTokens(List.of(MANUAL))).isEqualTo(600);
    }
}
