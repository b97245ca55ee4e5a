package org.wagtailcart.policy.role;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.EngineRole;

/** Guards against wrong prefill ratios, and against role changes that cost cached prefixes under traffic needlessly. */
class PrefillRatioPlannerTest {
    private static final int SLOTS = 64;

    private final PrefillRatioPlanner planner = new PrefillRatioPlanner();

    private static List<PrefillRatioPlanner.Engine> engines(int count, int prefill) {
        return IntStream.range(0, count)
                .mapToObj(i -> new PrefillRatioPlanner.Engine("e" + i, "z" + i % 4, i < prefill, false))
                .toList();
    }

    /** Guards against targets with all engines in one role. */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "2, 1", "3, 2", "13, 10", "27, 21", "2100, 1617"})
    void theTargetKeepsAnEngineInBothRoles(int count, int prefill) {
        assertThat(PrefillRatioPlanner.targetPrefillCount(count, SLOTS)).isEqualTo(prefill);
    }

    /** Guards against long outputs that fill the slots of few decode engines while prefill engines are idle. */
    @ParameterizedTest
    @CsvSource({"8, 64, 6", "8, 32, 5", "8, 16, 4", "60, 64, 46", "60, 32, 38", "35, 32, 22", "8, 256, 7", "8, 1, 1"})
    void enginesWithFewSlotsNeedMoreDecodeEngines(int count, int slots, int prefill) {
        assertThat(PrefillRatioPlanner.targetPrefillCount(count, slots)).isEqualTo(prefill);
    }

    @Test
    void allEnginesChangeAtOnceBeforeTraffic() {
        assertThat(planner.plan(engines(4, 3), SLOTS, false, 0)).isEmpty();
        assertThat(planner.plan(engines(13, 5), SLOTS, false, 1_000)).isEmpty();
        List<PrefillRatioPlanner.RatioChange> changes = planner.plan(engines(13, 5), SLOTS, false, 3_000);
        assertThat(changes).hasSize(5);
        assertThat(changes.stream().map(PrefillRatioPlanner.RatioChange::role).distinct())
                .containsExactly(EngineRole.PREFILL);
    }

    /** Guards against role changes under traffic for a deviation of one engine or a short imbalance. */
    @ParameterizedTest
    @CsvSource({"9, 60000, 0", "8, 4000, 0", "8, 6000, 1", "5, 6000, 1", "13, 6000, 1"})
    void underTrafficOneEngineChangesAfterASustainedImbalance(int prefill, long afterMillis, int changes) {
        planner.plan(engines(13, prefill), SLOTS, true, 0);
        assertThat(planner.plan(engines(13, prefill), SLOTS, true, afterMillis)).hasSize(changes);
    }

    /** Guards against a delay for a replacement engine in the other role, whose cache is still empty. */
    @Test
    void aNewEngineChangesAtOnce() {
        planner.plan(engines(13, 10), SLOTS, true, 0);
        planner.plan(engines(13, 10), SLOTS, true, 20_000);
        List<PrefillRatioPlanner.Engine> replaced =
                new ArrayList<>(engines(13, 10).subList(1, 13));
        replaced.add(new PrefillRatioPlanner.Engine("new", "z0", false, false));
        assertThat(planner.plan(replaced, SLOTS, true, 21_000))
                .containsExactly(new PrefillRatioPlanner.RatioChange("new", EngineRole.PREFILL));
    }

    /** Guards against engines of a version that serve nothing because those that decoded were replaced by another one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6})
    void enginesWithoutADecodeEngineGetOneAtOnce(int engines) {
        planner.plan(engines(engines + 1, engines), SLOTS, true, 0);
        planner.plan(engines(engines + 1, engines), SLOTS, true, 20_000);
        List<PrefillRatioPlanner.RatioChange> ordered = planner.plan(engines(engines, engines), SLOTS, true, 21_000);
        assertThat(ordered.stream().map(PrefillRatioPlanner.RatioChange::role)).containsExactly(EngineRole.DECODE);
        List<PrefillRatioPlanner.Engine> changing = new ArrayList<>(engines(engines, engines));
        changing.set(0, new PrefillRatioPlanner.Engine("e0", "z0", true, true));
        assertThat(planner.plan(changing, SLOTS, true, 22_000)).isEmpty();
    }

    /** Guards against orders beyond the target while others are pending, which would have to be undone. */
    @Test
    void pendingRoleChangesCountTowardsTheTarget() {
        List<PrefillRatioPlanner.Engine> engines = new ArrayList<>(engines(13, 5));
        IntStream.range(8, 13)
                .forEach(i -> engines.set(i, new PrefillRatioPlanner.Engine("e" + i, "z" + i % 4, false, true)));
        planner.plan(engines, SLOTS, false, 0);
        assertThat(planner.plan(engines, SLOTS, false, 3_000)).isEmpty();
        assertThat(planner.plan(engines(13, 10), SLOTS, false, 7_000)).isEmpty();
    }

    private static PrefillRatioPlanner.Engine engine(int index, boolean prefill, double speed) {
        return new PrefillRatioPlanner.Engine("e" + index, "z", prefill, false, speed);
    }

    /** Thirteen engines in balance, the first ten in the prefill role, with the given speeds repeated. */
    private static List<PrefillRatioPlanner.Engine> unequal(double... speeds) {
        return IntStream.range(0, 13)
                .mapToObj(i -> engine(i, i < 10, speeds[i % speeds.length]))
                .toList();
    }

    /** Guards against swaps on a uniform fleet and for gains that do not pay for two role changes. */
    @ParameterizedTest
    @CsvSource({"1, 1, 0", "1, 1.3, 0", "1, 1.5, 0", "1, 1.7, 2", "1, 2.4, 2"})
    void rolesAreSwappedUnderTrafficOnlyIfThatPays(double slow, double fast, int changes) {
        assertThat(planner.plan(unequal(slow, fast), SLOTS, true, 0)).hasSize(changes);
        assertThat(planner.plan(unequal(slow, fast), SLOTS, false, 10_000)).isEmpty();
    }

    /** Guards against swaps in quick succession, and against one that makes the prefill role slower. */
    @Test
    void aSwapIsRareAndMovesTheFastEngineToPrefill() {
        List<PrefillRatioPlanner.Engine> engines = unequal(1, 2.4);
        List<PrefillRatioPlanner.RatioChange> swap = planner.plan(engines, SLOTS, true, 0);
        assertThat(swap)
                .containsExactly(
                        new PrefillRatioPlanner.RatioChange("e8", EngineRole.DECODE),
                        new PrefillRatioPlanner.RatioChange("e11", EngineRole.PREFILL))
                .inOrder();
        List<PrefillRatioPlanner.Engine> swapped = after(engines, swap);
        // Another fast engine appears in the decode role, so that a second swap would pay.
        swapped.set(12, engine(12, false, 4));
        IntStream.range(1, 60).forEach(second -> assertThat(planner.plan(swapped, SLOTS, true, 1_000L * second))
                .isEmpty());
        assertThat(planner.plan(swapped, SLOTS, true, 60_000)).hasSize(2);
    }

    /** Returns the engines after the orders took effect. */
    private static List<PrefillRatioPlanner.Engine> after(
            List<PrefillRatioPlanner.Engine> engines, List<PrefillRatioPlanner.RatioChange> orders) {
        return engines.stream()
                .map(engine -> orders.stream()
                        .filter(order -> order.engineId().equals(engine.id()))
                        .findFirst()
                        .map(order -> new PrefillRatioPlanner.Engine(
                                engine.id(),
                                engine.failureDomain(),
                                order.role() == EngineRole.PREFILL,
                                false,
                                engine.speed()))
                        .orElse(engine))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Guards against a ratio that stays off by one after one failed order, and a pause of a minute if both failed. */
    @ParameterizedTest
    @CsvSource({"0, 1, 0", "1, 2, 0", "0, 0, 1"})
    void aSwapOfWhichAnOrderFailsIsUndone(int firstSuccess, int endOfSuccesses, int expectedSwaps) {
        List<PrefillRatioPlanner.Engine> engines = unequal(1, 2.4);
        List<PrefillRatioPlanner.RatioChange> swap = planner.plan(engines, SLOTS, true, 0);
        List<PrefillRatioPlanner.Engine> current = new ArrayList<>(engines);
        int swaps = 0;
        for (long nowMillis = 700; nowMillis < 45_000; nowMillis += 700) {
            if (nowMillis == 2_100) {
                current = after(engines, swap.subList(firstSuccess, endOfSuccesses));
            }
            List<PrefillRatioPlanner.RatioChange> orders = planner.plan(current, SLOTS, true, nowMillis);
            swaps += orders.size() == 2 ? 1 : 0;
            // The controller sends an engine no order in the 6 s after the last one.
            current = nowMillis < 6_000 ? current : after(current, orders);
        }
        assertThat(current.stream().filter(PrefillRatioPlanner.Engine::prefill).count())
                .isEqualTo(10);
        assertThat(swaps).isEqualTo(expectedSwaps);
    }

    /** Guards against slow engines in the prefill role while faster ones of the same domain could take it. */
    @Test
    void aCorrectionOfTheRatioPrefersFastEnginesForPrefill() {
        List<PrefillRatioPlanner.Engine> engines = IntStream.range(0, 13)
                .mapToObj(i -> engine(i, i < 8, i == 11 ? 2.4 : 1))
                .toList();
        planner.plan(engines, SLOTS, true, 0);
        assertThat(planner.plan(engines, SLOTS, true, 6_000))
                .containsExactly(new PrefillRatioPlanner.RatioChange("e11", EngineRole.PREFILL));
    }
}
