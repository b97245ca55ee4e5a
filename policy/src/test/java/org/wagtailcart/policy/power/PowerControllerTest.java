package org.wagtailcart.policy.power;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;

/** Guards against an allowance that overloads the power feed or leaves power unused. */
class PowerControllerTest {
    private static final int ENGINES = 13;
    private static final double THROTTLED_FACTOR = 1 / 0.6;

    private final PowerController controller = new PowerController(PowerOptions.defaults());
    private Set<String> granted = Set.of();
    private long now;

    /** Guards against an allowance that never reaches the power limit, and against one that stays above it. */
    @ParameterizedTest
    @ValueSource(ints = {2, 5, 9, 12, 13})
    void findsTheLimit(int limit) {
        run(120, limit);
        assertThat(controller.allowance()).isIn(List.of(limit, limit - 1));
        long overloadedSteps =
                IntStream.range(0, 200).filter(i -> stepsOver(limit)).count();
        assertThat(overloadedSteps).isAtMost(8);
    }

    /** Guards against a slow reaction to a falling limit, and against repeated reductions far below it. */
    @ParameterizedTest
    @ValueSource(ints = {4, 6})
    void followsAFallingLimit(int limit) {
        run(120, 9);
        run(60, limit);
        assertThat(controller.allowance()).isAtMost(limit);
        assertThat(controller.allowance()).isAtLeast(limit - 2);
    }

    /** Guards against a single slow engine that counts as a power overload. */
    @Test
    void oneSlowEngineIsNoPowerOverload() {
        run(120, ENGINES);
        IntStream.range(0, 30).forEach(i -> step(engine -> engine == 7, 0));
        assertThat(controller.allowance()).isEqualTo(ENGINES);
    }

    /** Guards against correlated failures above the soft limit that are treated as independent faults. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void correlatedFailuresLowerTheAllowance(int failures) {
        run(120, ENGINES);
        step(engine -> false, failures);
        assertThat(controller.allowance() < ENGINES).isEqualTo(failures > 1);
    }

    /** Guards against more engines above the soft limit than allowed while grants are transferred. */
    @Test
    void grantsNeverExceedTheAllowanceDuringTransfers() {
        GrantAllocator allocator = new GrantAllocator(3_000);
        Map<String, Long> deadlines = new HashMap<>();
        IntStream.range(0, 200).forEach(i -> {
            long at = i * 500L;
            int busiest = i / 7 % ENGINES;
            List<EngineObservation> engines = IntStream.range(0, ENGINES)
                    .mapToObj(engine -> observation(engine, engine == busiest ? 900 : engine, 0, true, false, at))
                    .toList();
            allocator
                    .allocate(engines, 4, at)
                    .forEach(grant -> deadlines.put(grant.upstreamId(), grant.deadlineMillis()));
            assertThat(deadlines.values().stream()
                            .filter(deadline -> deadline > at)
                            .count())
                    .isAtMost(4);
        });
    }

    private void run(int steps, int limit) {
        IntStream.range(0, steps).forEach(i -> stepsOver(limit));
    }

    private boolean stepsOver(int limit) {
        boolean overloaded = granted.size() > limit;
        step(engine -> overloaded, 0);
        return overloaded;
    }

    private void step(IntPredicate slow, int failed) {
        now += 1_000;
        List<EngineObservation> engines = IntStream.range(0, ENGINES)
                .mapToObj(i -> {
                    double batch = 30 + (i * 7L + now / 1_000 * 3) % 30;
                    double interval = (18 + 0.35 * batch) * (slow.test(i) ? THROTTLED_FACTOR : 1);
                    return observation(i, batch, interval, i >= failed, granted.contains("e" + i), now);
                })
                .toList();
        controller.observe(engines, now);
        granted = controller.grants(now).stream().map(EngineGrant::upstreamId).collect(Collectors.toSet());
    }

    private static EngineObservation observation(
            int engine, double batch, double interval, boolean reachable, boolean aboveSoftLimit, long atMillis) {
        return new EngineObservation(
                "e" + engine,
                EngineRole.DECODE,
                reachable,
                false,
                (int) batch,
                4,
                0,
                1_000,
                batch,
                interval,
                aboveSoftLimit,
                atMillis);
    }
}
