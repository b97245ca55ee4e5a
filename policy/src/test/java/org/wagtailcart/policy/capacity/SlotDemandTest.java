package org.wagtailcart.policy.capacity;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against demand that is taken for low because requests are refused or gateways do not report. */
class SlotDemandTest {
    private final SlotDemand demand = new SlotDemand();
    private long nowMillis = 1_000_000;

    private double observe(int gateways, int requests, int running, double admitted, double refused) {
        nowMillis += 1_000;
        return demand.observe(new SlotDemand.Load(gateways, requests, running, admitted, refused), nowMillis)
                .orElse(-1);
    }

    /** Guards against a loss of all replicas that looks like a lack of demand. */
    @Test
    void refusedRequestsCountBySlotsOfAdmittedOnes() {
        assertThat(observe(3, 12, 12, 120, 0)).isEqualTo(12);
        assertThat(observe(3, 12, 12, 120, 60)).isWithin(0.01).of(18);
        assertThat(observe(3, 0, 0, 0, 180)).isWithin(0.01).of(18);
    }

    @Test
    void demandThatCannotBeKnownIsUnknown() {
        assertThat(observe(0, 0, 0, 0, 0)).isEqualTo(-1);
        assertThat(observe(2, 0, 0, 0, 50)).isEqualTo(-1);
        assertThat(observe(2, 6, 6, 50, 0)).isEqualTo(6);
        assertThat(observe(1, 3, 3, 25, 0)).isEqualTo(-1);
        assertThat(observe(1, 3, 3, 25, 0)).isEqualTo(3);
    }
}
