package org.wagtailcart.policy.health;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against ejection of healthy upstreams, and against failing ones that stay in routing. */
class HealthPolicyTest {
    private static final HealthOptions OPTIONS = HealthOptions.defaults();

    /** Guards against a failed upstream that stays in routing, and against one that is never readmitted. */
    @ParameterizedTest
    @CsvSource({"NONE, 0", "EJECTION, 2000"})
    void consecutiveFailuresEjectForTheCooldown(HealthPolicy policy, long cooldownMillis) {
        HealthTracker tracker = policy.newTracker(OPTIONS);
        fail(tracker, OPTIONS.consecutiveFailures() - 1, 1_000);
        assertThat(tracker.availableFromMillis(1_000)).isAtMost(1_000);
        fail(tracker, 1, 1_000);
        assertThat(Math.max(1_000, tracker.availableFromMillis(1_000))).isEqualTo(1_000 + cooldownMillis);
    }

    /** Guards against an upstream ejected for single failures among successes. */
    @ParameterizedTest
    @EnumSource(HealthPolicy.class)
    void rareFailuresAreTolerated(HealthPolicy policy) {
        HealthTracker tracker = policy.newTracker(OPTIONS);
        IntStream.range(0, 200).forEach(i -> tracker.onOutcome(i % 5 != 0, i));
        assertThat(tracker.availableFromMillis(200)).isAtMost(200);
    }

    /** Guards against a cooldown that does not grow and against one that grows without bound. */
    @ParameterizedTest
    @EnumSource(names = "EJECTION")
    void cooldownDoublesUpToItsMaximum(HealthPolicy policy) {
        HealthTracker tracker = policy.newTracker(OPTIONS);
        long now = 0;
        long last = 0;
        for (int round = 0; round < 10; round++) {
            fail(tracker, OPTIONS.consecutiveFailures(), now);
            last = tracker.availableFromMillis(now) - now;
            assertThat(last).isEqualTo(Math.min(OPTIONS.maxCooldownMillis(), 2_000L << round));
            now += last;
        }
        assertThat(last).isEqualTo(OPTIONS.maxCooldownMillis());
    }

    private static void fail(HealthTracker tracker, int times, long nowMillis) {
        IntStream.range(0, times).forEach(i -> tracker.onOutcome(false, nowMillis));
    }
}
