package org.wagtailcart.control.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.control.client.ControlMessages;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.wire.MessageCodec;

/** Guards against rates that are lost with a leader or a gateway, and against replies that grow with the fleet. */
class EngineRateLogTest {
    private final EngineRateLog log = new EngineRateLog();

    private EngineRateLog.Page poll(String gateway, List<EngineRate> updates, long version, long nowMillis) {
        log.record(gateway, updates, version, nowMillis);
        return log.pageFor(gateway);
    }

    private void learn(String engine, double tokensPerMilli) {
        log.record("g1", List.of(new EngineRate(engine, tokensPerMilli, 2)), 0, 0);
        log.record("g2", List.of(new EngineRate(engine, tokensPerMilli, 2)), 0, 0);
    }

    /** Guards against gateways that each need their own samples. */
    @Test
    void theSamplesOfTwoGatewaysMakeARateForAThird() {
        learn("fast", 86);
        EngineRateLog.Page page = poll("g3", List.of(), 0, 100);
        assertThat(page.rates()).containsExactly(new EngineRate("fast", 86, 4));
        assertThat(poll("g3", List.of(), page.version(), 200).rates()).isEmpty();
    }

    /** Guards against a gateway that knows no rates for minutes after its restart. */
    @Test
    void aRestartedGatewayGetsAllRatesWithItsFirstPoll() {
        IntStream.range(0, 50).forEach(i -> learn("e" + i, 86));
        long version = poll("g1", List.of(), 0, 100).version();
        assertThat(poll("g1", List.of(), version, 200).rates()).isEmpty();
        assertThat(poll("g1", List.of(), 0, 300).rates()).hasSize(50);
    }

    /** Guards against a new leader without rates, and against rates without samples that outweigh new samples there. */
    @Test
    void aNewLeaderTakesTheRatesOfGatewaysUntilItHasSamples() {
        EngineRateLog.Page page = poll("g1", List.of(new EngineRate("fast", 86, 0)), 0, 0);
        assertThat(page.rates()).containsExactly(new EngineRate("fast", 86, 0));
        learn("fast", 35);
        log.record("g2", List.of(new EngineRate("fast", 86, 0)), 0, 100);
        assertThat(poll("g1", List.of(), page.version(), 200).rates()).containsExactly(new EngineRate("fast", 35, 4));
    }

    /** Guards against a version from before a restart of the member that hides its rates. */
    @Test
    void aVersionThatTheMemberNeverHadGetsAllRates() {
        learn("fast", 86);
        assertThat(poll("g3", List.of(), 700, 0).rates()).hasSize(1);
    }

    /** Guards against messages for changes that matter to no placement. */
    @Test
    void aSmallChangeIsNotSent() {
        learn("fast", 86);
        long version = poll("g3", List.of(), 0, 0).version();
        learn("fast", 88);
        learn("fast", 88);
        assertThat(poll("g3", List.of(), version, 100).rates()).isEmpty();
    }

    /** Guards against a reply of 2,100 engines at once. */
    @Test
    void aLargeFleetIsSentInParts() {
        IntStream.range(0, 2_100).forEach(i -> learn("e" + i, 40 + i));
        long version = 0;
        int received = 0;
        int polls = 0;
        while (received < 2_100) {
            EngineRateLog.Page page = poll("g3", List.of(), version, 100);
            assertThat(page.rates().size()).isAtMost(EngineRateLog.MAX_RATES_PER_REPLY);
            received += page.rates().size();
            version = page.version();
            polls++;
        }
        assertThat(polls).isEqualTo(6);
    }

    private static int bytes(int engines) {
        List<EngineRate> rates = IntStream.range(0, engines)
                .mapToObj(i -> new EngineRate(String.format("i-%010d", i), 35.8 + i / 7.0, 1_000))
                .toList();
        GatewayReport report = new GatewayReport(1, null, rates, List.of(), 1);
        return new MessageCodec(List.of(ControlMessages.TYPES))
                .encode(new WatchRequest("g", 0, 0, List.of(), List.of(), 0, 0, null, report))
                .length;
    }

    /** Guards against messages that take a noticeable part of a gateway's bandwidth of 5 Mbit/s. */
    @Test
    void aRateTakesAtMost30Bytes() {
        assertThat(bytes(50) - bytes(0)).isAtMost(50 * 30);
        assertThat(bytes(EngineRateLog.MAX_RATES_PER_REPLY) - bytes(0)).isAtMost(12_000);
    }
}
