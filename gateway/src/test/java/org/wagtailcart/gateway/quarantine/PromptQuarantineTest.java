package org.wagtailcart.gateway.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Regions;
import org.wagtailcart.control.client.QuarantineState;
import org.wagtailcart.control.client.QuarantineUpdate;
import org.wagtailcart.control.client.SegmentCompletion;
import org.wagtailcart.control.client.SegmentQuarantineEntry;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.gateway.list.InFlightRequest;
import org.wagtailcart.gateway.list.UpstreamFilter;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.policy.placement.Location;

/** Guards against crashes, completed requests and quarantines that gateways do not share. */
class PromptQuarantineTest {
    private static final String CAUSE = "cause";
    private static final Address ADDRESS = new Address("127.0.0.1", 9);

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private final MillisClock clock = nowMillis::get;
    private final PromptQuarantine quarantine = new PromptQuarantine(clock);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    @AfterEach
    void stop() {
        timer.shutdownNow();
    }

    /** Guards against the report of a crash that is lost with the control member that was polled. */
    @Test
    void updateThatNoMemberReceivedIsSentAgain() {
        quarantine.recordCrash("e1", List.of(List.of(CAUSE)), nowMillis.get() - 40);
        quarantine.apply(new QuarantineState(List.of("other"), List.of()), nowMillis.get());
        quarantine.recordCompletion(List.of("other"));
        QuarantineUpdate lost = quarantine.drainUpdate(false);
        assertThat(quarantine.drainUpdate(false)).isEqualTo(QuarantineUpdate.NONE);
        quarantine.restore(lost, nowMillis.get());
        nowMillis.addAndGet(700);
        QuarantineUpdate again = quarantine.drainUpdate(false);
        assertThat(again.crashes().get(0).ageMillis()).isEqualTo(740);
        assertThat(again.completions()).containsExactly(new SegmentCompletion("other", 700));
    }

    /** Guards against a segment of many requests that the control group takes for one without a completed request. */
    @Test
    void crashIsReportedWithTheCompletedRequestsOfItsSegments() {
        quarantine.recordCompletion(List.of("first", "unrelated"));
        nowMillis.addAndGet(300);
        quarantine.recordCrash("e1", List.of(List.of("first", CAUSE)), nowMillis.get());
        assertThat(quarantine.drainUpdate(false).completions()).containsExactly(new SegmentCompletion("first", 300));
    }

    /** Guards against suspects that stay under suspicion although requests with them completed before or after. */
    @Test
    void completedRequestsWithSuspectsAreReportedOnce() {
        quarantine.recordCompletion(List.of("before", "unrelated"));
        nowMillis.addAndGet(5_000);
        quarantine.apply(new QuarantineState(List.of("before", "after"), List.of()), nowMillis.get());
        assertThat(quarantine.drainUpdate(false).completions()).containsExactly(new SegmentCompletion("before", 5_000));
        quarantine.recordCompletion(List.of("before", "after", "unrelated"));
        quarantine.recordCompletion(List.of("before", "after", "unrelated"));
        assertThat(quarantine.drainUpdate(false).completions())
                .containsExactly(new SegmentCompletion("before", 0), new SegmentCompletion("after", 0));
    }

    /** Guards against a quarantine that a new leader, or a gateway that has just started, does not learn of. */
    @Test
    void quarantineOfTheControlGroupIsInForceAndPassedOn() {
        SegmentQuarantineEntry entry = new SegmentQuarantineEntry(CAUSE, 60_000, 2);
        quarantine.apply(new QuarantineState(List.of(), List.of(entry)), nowMillis.get());
        assertThat(quarantine.refusedForMillis(List.of("first", CAUSE))).hasValue(60_000);
        assertThat(quarantine.refusedForMillis(List.of("first"))).isEmpty();
        assertThat(quarantine.drainUpdate(true).quarantined()).containsExactly(entry);
        assertThat(quarantine.drainUpdate(false).quarantined()).isEmpty();
    }

    /**
     * Guards against single broken connections, streams in full flow and prompts without shared segments that are taken
     * for the cause of a crash.
     */
    @ParameterizedTest
    @CsvSource({"true, -1, 1", "true, 0, 1", "true, 200, 1", "true, 5000, 0", "false, -1, 0", "false, 10, 0"})
    void onlyAnEngineThatRefusesConnectionsHasCrashed(boolean refuses, long outputForMillis, int crashes)
            throws Exception {
        EngineCrashDetector detector =
                new EngineCrashDetector(quarantine, address -> refuses, Runnable::run, timer, clock);
        UpstreamRegistry registry = new UpstreamRegistry(new Location("fes", Regions.SINGLE), clock);
        registry.applyHostList(List.of(new ListedUpstream("e1", "brain", ADDRESS, "fes", 4, false, null)), 1, "test");
        InFlightRequest inFlight = registry.startReplicaRequest("brain", UpstreamFilter.excluding(java.util.Set.of()))
                .orElseThrow();
        long outputAtMillis = outputForMillis < 0 ? -1 : nowMillis.get() - outputForMillis;
        detector.onConnectionLost(inFlight.upstream(), List.of(CAUSE), outputAtMillis);
        detector.onConnectionLost(inFlight.upstream(), List.of(), -1);
        timer.shutdown();
        assertThat(timer.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
        assertThat(quarantine.crashes()).isEqualTo(crashes);
    }
}
