package org.wagtailcart.gateway.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Regions;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.control.usage.UsageObserver;
import org.wagtailcart.control.watch.HostListCache;
import org.wagtailcart.control.watch.WatchHandler;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.gateway.list.InFlightRequest;
import org.wagtailcart.gateway.list.UpstreamFilter;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.list.UpstreamState;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.gateway.share.WorkspaceLimits;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;
import org.wagtailcart.routes.EngineSpec;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;
import org.wagtailcart.wire.Exchange;

/** Guards against prefill rates that have to be learned again after a leader or a gateway is lost. */
class EngineRatesAcrossFailuresTest {
    private static final String SERVICE = "model";
    private static final int PROMPT_TOKENS = 17_020;
    private static final int ENGINES = 9;
    private static final long POLL_MILLIS = 250;

    private long nowMillis = 1_000_000;
    private int promptCount;

    /** Engines 0, 3 and 6 are fast; the last engine decodes. */
    private static double tokensPerMilli(int engine) {
        return 51.1 * (engine % 3 == 0 ? 1.7 : 0.7);
    }

    private final class Gateway {
        private final String id;
        private final UpstreamRegistry registry =
                new UpstreamRegistry(new Location("fes", Regions.SINGLE), () -> nowMillis);
        private final GatewayReports reports =
                new GatewayReports(registry, UsageReports.NONE, new WorkspaceLimits("g", () -> nowMillis));

        Gateway(String id) {
            this.id = id;
            registry.services(List.of(new ServiceSpec(
                    SERVICE, "/health", 64, new EngineSpec(64, 518_598, 163_840, 1_600_000, 3_000, 3_000), null)));
            registry.applyHostList(
                    IntStream.rangeClosed(0, ENGINES)
                            .mapToObj(i -> new ListedUpstream(
                                    "e" + i,
                                    SERVICE,
                                    new Address("10.0.0." + i, 80),
                                    "fes",
                                    64,
                                    false,
                                    i < ENGINES ? EngineRole.PREFILL : EngineRole.DECODE))
                            .toList(),
                    nowMillis,
                    "test");
        }

        void poll(WatchHandler member) {
            nowMillis += POLL_MILLIS;
            Reply reply = new Reply();
            GatewayReport report = reports.collect();
            member.handle(reply, new WatchRequest(id, 0, 0, List.of(), List.of(), 0, 0, null, report));
            nowMillis += POLL_MILLIS;
            member.replyDue();
            FleetReport fleet = reply.received.get(0).fleet();
            assertThat(fleet).isNotNull();
            if (fleet != null) {
                reports.apply(fleet, nowMillis);
            }
        }

        /** Prefills a prompt that no engine has cached where placement sends it. */
        void prefill() {
            Prompt prompt = new Prompt(
                    SERVICE,
                    PROMPT_TOKENS,
                    100,
                    List.of(
                            new PrefixCacheEstimate.Segment("shared-" + promptCount, 13_300),
                            new PrefixCacheEstimate.Segment("own-" + promptCount, 3_720)));
            promptCount++;
            UpstreamRegistry.Placement placement = registry.place(SERVICE, prompt, UpstreamFilter.excluding(Set.of()))
                    .orElseThrow();
            var engine = placement.prefill().orElseThrow();
            InFlightRequest request = registry.startPrefill(engine, prompt, placement);
            nowMillis += Math.round(placement.prefillTokens()
                    / tokensPerMilli(Integer.parseInt(engine.id().substring(1))));
            request.endPrefill(nowMillis);
        }

        List<Long> rates() {
            return registry.states().stream()
                    .filter(state -> state.role() == EngineRole.PREFILL)
                    .map(UpstreamState::tokensPerMilli)
                    .map(Math::round)
                    .toList();
        }
    }

    private static final class Reply implements Exchange {
        private final List<WatchReply> received = new ArrayList<>();

        @Override
        public String peer() {
            return "test";
        }

        @Override
        public void send(Object event) {}

        @Override
        public void finish(Object response) {
            received.add((WatchReply) response);
        }

        @Override
        public void fail(WagtailcartException error) {
            throw error;
        }

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public boolean isCancelled() {
            return false;
        }
    }

    private WatchHandler member(String id) {
        Member self = new Member(id, 1, new Address("10.0.1.1", 7000), true);
        RaftStatus status = new RaftStatus(
                self, RaftStatus.Role.LEADER, 1, Optional.of(self), 0, 0, 0, 0, new Membership(0, List.of(self)));
        return new WatchHandler(
                () -> RouteTable.EMPTY,
                () -> status,
                () -> 0L,
                new HostListCache(),
                new UsageObserver(id, () -> nowMillis),
                () -> nowMillis);
    }

    private static List<Long> trueRates() {
        return IntStream.range(0, ENGINES)
                .mapToObj(engine -> Math.round(tokensPerMilli(engine)))
                .toList();
    }

    /** Two gateways that have learned the rates together. */
    private List<Gateway> learn(WatchHandler leader) {
        List<Gateway> gateways = List.of(new Gateway("g1"), new Gateway("g2"));
        for (int i = 0; i < 100; i++) {
            gateways.forEach(gateway -> {
                gateway.prefill();
                gateway.poll(leader);
            });
        }
        return gateways;
    }

    /** Guards against samples from the traffic of gateways that do not become rates. */
    @Test
    void gatewaysLearnTheRatesOfNineEnginesTogether() {
        learn(member("m1")).forEach(gateway -> assertThat(gateway.rates()).isEqualTo(trueRates()));
    }

    @Test
    void aRestartedGatewayHasTheRatesAfterOnePoll() {
        WatchHandler leader = member("m1");
        learn(leader);
        Gateway restarted = new Gateway("g1");
        restarted.poll(leader);
        assertThat(restarted.rates()).isEqualTo(trueRates());
    }

    /** Guards against a new leader without rates, also for a gateway that restarts after the change. */
    @Test
    void aNewLeaderHasTheRatesAfterOnePollOfEachGateway() {
        List<Gateway> gateways = learn(member("m1"));
        WatchHandler leader = member("m2");
        gateways.forEach(gateway -> {
            gateway.registry.controlMemberChanged();
            gateway.poll(leader);
            assertThat(gateway.rates()).isEqualTo(trueRates());
        });
        Gateway restarted = new Gateway("g2");
        restarted.poll(leader);
        assertThat(restarted.rates()).isEqualTo(trueRates());
    }

    /** Guards against polls that carry all rates each time. */
    @Test
    void aPollWithoutNewsCarriesNoRates() {
        WatchHandler leader = member("m1");
        Gateway gateway = learn(leader).get(0);
        gateway.poll(leader);
        assertThat(gateway.reports.collect().engineRates()).isEmpty();
    }
}
