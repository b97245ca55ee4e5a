package org.wagtailcart.gateway.list;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailcart.policy.placement.EngineRate;

/** Guards against rates that a change of leader, a partition or a replaced engine loses or falsifies. */
class LearnedEngineRatesTest {
    private final LearnedEngineRates rates = new LearnedEngineRates();

    @BeforeEach
    void learn() {
        rates.retain(Set.of("own", "shared"));
        rates.apply(List.of(new EngineRate("shared", 86, 9)), 5, 0);
        for (int i = 0; i < 5; i++) {
            rates.record("own", 35, 100 * i);
        }
    }

    /** Guards against polls that repeat old samples. */
    @Test
    void newSamplesAreSentOnce() {
        assertThat(rates.drainUpdates(1_000)).containsExactly(new EngineRate("own", 35, 5));
        assertThat(rates.drainUpdates(1_100)).isEmpty();
    }

    /** Guards against a new leader that lacks the rates of engines without new samples. */
    @Test
    void allRatesAreSentToANewLeader() {
        rates.drainUpdates(1_000);
        rates.memberChanged();
        assertThat(rates.version()).isEqualTo(0);
        assertThat(rates.drainUpdates(1_100))
                .containsExactly(new EngineRate("own", 35, 0), new EngineRate("shared", 86, 0));
        rates.apply(List.of(), 1, 1_200);
        assertThat(rates.tokensPerMilli("shared", 1_200).orElseThrow()).isEqualTo(86);
    }

    /** Guards against a partitioned gateway that ignores its own samples when a speed changes. */
    @Test
    void ownSamplesApplyWithoutContact() {
        for (int i = 0; i < 5; i++) {
            rates.record("shared", 35, 9_000 + 100 * i);
        }
        assertThat(rates.tokensPerMilli("shared", 10_000).orElseThrow()).isEqualTo(35);
        rates.apply(List.of(), 5, 10_000);
        assertThat(rates.tokensPerMilli("shared", 10_000).orElseThrow()).isEqualTo(86);
    }

    /** Guards against a replaced engine that inherits a rate, and an engine that lost its rate while it was unlisted. */
    @Test
    void anUnlistedEngineIsForgottenAndAskedForAgain() {
        rates.retain(Set.of("own"));
        assertThat(rates.tokensPerMilli("shared", 1_000).isPresent()).isFalse();
        assertThat(rates.version()).isEqualTo(0);
    }

    /** Guards against a reply that brings the shorter host list and marks all rates of the member as known. */
    @Test
    void anUnlistedEngineIsAskedForAgainAfterTheReplyWithTheHostList() {
        rates.drainUpdates(1_000);
        rates.retain(Set.of("own"));
        rates.apply(List.of(), 5, 1_100);
        assertThat(rates.version()).isEqualTo(0);
        rates.drainUpdates(1_200);
        rates.apply(List.of(new EngineRate("shared", 86, 9)), 5, 1_300);
        assertThat(rates.version()).isEqualTo(5);
        assertThat(rates.tokensPerMilli("shared", 1_300).orElseThrow()).isEqualTo(86);
    }
}
