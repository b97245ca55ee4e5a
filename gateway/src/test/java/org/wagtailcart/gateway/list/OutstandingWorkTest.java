package org.wagtailcart.gateway.list;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Regions;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;
import org.wagtailcart.routes.EngineSpec;
import org.wagtailcart.routes.ServiceSpec;

/**
 * Guards against a gateway that admits more than engines accept when all callers return after an outage: its bound on the
 * wait applies to the work of all gateways, and what it has sent itself counts before the next watch reply.
 */
class OutstandingWorkTest {
    private static final int TOKENS = 5_000;
    /** Limit on the estimated time to the first token, of which the prefill of one prompt takes 100 ms. */
    private static final double LIMIT_MILLIS = 1_000;

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final UpstreamRegistry registry = new UpstreamRegistry(new Location("fes", Regions.SINGLE), nowMillis::get);
    private int prompts;

    @BeforeEach
    void listEngines() {
        registry.services(List.of(new ServiceSpec(
                "brain", "/health", 96, new EngineSpec(64, 500_000, 18_432, 240_000, 5_000, 3_000), null)));
        registry.applyHostList(
                List.of(engine("p", EngineRole.PREFILL), engine("d", EngineRole.DECODE)), nowMillis.get(), "test");
    }

    private static ListedUpstream engine(String id, EngineRole role) {
        return new ListedUpstream(id, "brain", new Address("127.0.0.1", 1), "fes", 64, false, role);
    }

    /** Sends prompts until the estimated time to the first token exceeds the limit; returns those that were sent. */
    private List<InFlightRequest> admitAll() {
        List<InFlightRequest> admitted = new ArrayList<>();
        while (admitted.size() < 1_000) {
            Prompt prompt =
                    new Prompt("m", TOKENS, 10, List.of(new PrefixCacheEstimate.Segment("own-" + prompts++, TOKENS)));
            UpstreamRegistry.Placement placement = registry.place("brain", prompt, UpstreamFilter.excluding(Set.of()))
                    .orElseThrow();
            if (placement.times().firstTokenMillis() > LIMIT_MILLIS) {
                return admitted;
            }
            admitted.add(registry.startPrefill(placement.prefill().orElse(placement.decode()), prompt, placement));
        }
        return admitted;
    }

    /** Without any word of other gateways, a gateway that has just started stops at the bound on the wait. */
    @Test
    void gatewayWithoutKnowledgeOfOthersIsBoundByWhatItHasSent() {
        assertThat(admitAll()).hasSize(9);
        assertThat(admitAll()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0, 9", "5000, 8", "25000, 4", "45000, 0", "4500000, 0"})
    void workOfOtherGatewaysAddsUpWithItsOwn(long tokensOfOthers, int expected) {
        registry.updateOtherGatewaysWork(List.of(new OutstandingWork("p", 1, tokensOfOthers)));
        assertThat(admitAll()).hasSize(expected);
    }

    /** Guards against own work that a watch reply, which covers other gateways only, replaces. */
    @Test
    void ownWorkSinceTheLastReplyStillCountsAfterTheNext() {
        registry.updateOtherGatewaysWork(List.of(new OutstandingWork("p", 1, 4 * TOKENS)));
        assertThat(admitAll()).hasSize(5);
        registry.updateOtherGatewaysWork(List.of(new OutstandingWork("p", 1, 4 * TOKENS)));
        assertThat(admitAll()).isEmpty();
    }

    /** Admission opens as fast as the engine completes prefills. */
    @Test
    void eachCompletedPrefillAdmitsAnother() {
        List<InFlightRequest> admitted = admitAll();
        admitted.subList(0, 3).forEach(request -> request.endPrefill(nowMillis.get()));
        assertThat(admitAll()).hasSize(3);
    }
}
