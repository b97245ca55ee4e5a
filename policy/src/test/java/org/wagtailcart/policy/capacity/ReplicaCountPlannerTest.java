package org.wagtailcart.policy.capacity;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against orders that flap, come too late, or stop replicas that requests need. */
class ReplicaCountPlannerTest {
    private static final ReplicaLimits LIMITS = new ReplicaLimits(2, 8, 4_500);
    private static final int SLOTS = CapacityLoad.SLOTS;
    /** Longer than the hold time of the planner, 45 s for this boot time. */
    private static final int HOLD_SECONDS = 50;

    private static CapacityLoad load(int initialReplicas, int seconds, LongToDoubleFunction meanSlots) {
        return new CapacityLoad(LIMITS, initialReplicas, seconds, meanSlots);
    }

    private static CapacityLoad wave(int periodSeconds) {
        return load(4, 600, second -> 15 + 10 * Math.sin(2 * Math.PI * second / periodSeconds));
    }

    private static CapacityObservation observe(int second, OptionalDouble demand, DomainReplicas... domains) {
        return new CapacityObservation(second * 1_000L, demand, SLOTS, List.of(domains));
    }

    private static DomainReplicas idle(String name, int serving) {
        return new DomainReplicas(name, serving, 0, serving, 0);
    }

    /** Plans the same demand and replicas for each second of a range, and returns the last plan. */
    private static Map<String, Integer> planDuring(
            ReplicaCountPlanner planner, int from, int to, double demand, DomainReplicas... domains) {
        Map<String, Integer> plan = Map.of();
        for (int second = from; second <= to; second++) {
            plan = planner.plan(observe(second, OptionalDouble.of(demand), domains));
        }
        return plan;
    }

    /** Returns the results that a comparison is based on, for its message. */
    private static String report(CapacityLoad load) {
        return "planner " + load.runPlanner() + ", best constant " + load.runBestConstant() + ", maximum "
                + load.runConstant(LIMITS.max()) + ", target utilization " + load.runTargetUtilization();
    }

    /** Guards against replicas that are removed in each trough and missing at the next crest. */
    @ParameterizedTest
    @ValueSource(ints = {10, 20, 30, 40})
    void waveShorterThanTheHoldTimeDoesNotFlap(int periodSeconds) {
        CapacityLoad load = wave(periodSeconds);
        CapacityLoad.Result planned = load.runPlanner();
        CapacityLoad.Result reactive = load.runTargetUtilization();
        assertWithMessage(report(load)).that(planned.reductions()).isAtMost(reactive.reductions() / 10);
        assertWithMessage(report(load)).that(planned.cost()).isLessThan(reactive.cost());
        assertWithMessage(report(load))
                .that(planned.cost())
                .isLessThan(load.runConstant(LIMITS.max()).cost());
    }

    /** Guards against a hold time and margins that cost much more than the number that is best afterwards. */
    @ParameterizedTest
    @ValueSource(ints = {10, 20, 30, 40})
    void waveCostsLittleMoreThanTheBestConstant(int periodSeconds) {
        CapacityLoad load = wave(periodSeconds);
        assertWithMessage(report(load))
                .that(load.runPlanner().cost())
                .isLessThan(1.1 * load.runBestConstant().cost());
    }

    /** Guards against orders for the present demand, which are a boot time late on a ramp. */
    @Test
    void rampThatOutrunsTheBootTimeIsAnticipated() {
        CapacityLoad load = load(2, 120, second -> Math.min(40, Math.max(4, 4 + 1.5 * (second - 20))));
        assertWithMessage(report(load))
                .that(load.runPlanner().lateReplicaSeconds())
                .isLessThan(load.runTargetUtilization().lateReplicaSeconds());
        assertWithMessage(report(load))
                .that(load.runPlanner().cost())
                .isLessThan(load.runBestConstant().cost());
    }

    /** Guards against replicas that are billed for a service that nobody uses. */
    @Test
    void idleServiceIsReducedToTheMinimumOneHoldTimeAfterItsLoad() {
        CapacityLoad load = load(8, 900, second -> second < 60 ? 35 : 0);
        assertWithMessage(report(load))
                .that(load.runPlanner().cost())
                .isLessThan(load.runBestConstant().cost());
        assertThat(planDuring(new ReplicaCountPlanner(LIMITS), 0, HOLD_SECONDS, 0, idle("a", 8)))
                .containsExactly("a", 2);
    }

    /** Guards against reductions by a planner that has just started and has seen a short trough only. */
    @Test
    void newPlannerKeepsReplicasForTheHoldTime() {
        assertThat(planDuring(new ReplicaCountPlanner(LIMITS), 0, 40, 0, idle("a", 8)))
                .containsExactly("a", 8);
    }

    /** Guards against an outage that is caused by a start, when gateways have not reported yet. */
    @ParameterizedTest
    @CsvSource({"1, 2", "2, 2", "5, 5", "8, 8"})
    void startWithoutKnownDemandOrdersNothingBelowThePresentNumber(int present, int expected) {
        ReplicaCountPlanner planner = new ReplicaCountPlanner(LIMITS);
        for (int second = 0; second < 2 * HOLD_SECONDS; second++) {
            assertThat(planner.plan(observe(second, OptionalDouble.empty(), idle("a", present))))
                    .containsExactly("a", expected);
        }
    }

    /** Guards against an order within the limits that stops replicas without knowing whether they are needed. */
    @Test
    void startWithoutKnownDemandOrdersNothingAboveTheMaximum() {
        assertThat(new ReplicaCountPlanner(LIMITS).plan(observe(0, OptionalDouble.empty(), idle("a", 9))))
                .isEmpty();
    }

    /** Guards against a trough in the reports, for example during a partition, that counts as low demand. */
    @Test
    void demandThatBecomesUnknownRestartsTheHoldTime() {
        ReplicaCountPlanner planner = new ReplicaCountPlanner(LIMITS);
        planDuring(planner, 0, HOLD_SECONDS, 30, idle("a", 8));
        planner.plan(observe(HOLD_SECONDS + 1, OptionalDouble.empty(), idle("a", 8)));
        assertThat(planDuring(planner, HOLD_SECONDS + 2, HOLD_SECONDS + 40, 0, idle("a", 8)))
                .containsExactly("a", 8);
    }

    /** Guards against requests that are cut off because the demand has fallen while they run. */
    @Test
    void runningRequestsKeepTheirReplicas() {
        DomainReplicas busy = new DomainReplicas("a", 6, 0, 0, 29);
        assertThat(planDuring(new ReplicaCountPlanner(LIMITS), 0, HOLD_SECONDS, 0, busy))
                .containsExactly("a", 5);
    }

    /** Guards against a service that is short of replicas for as long as a failure domain does not execute orders. */
    @Test
    void failureDomainThatLostReplicasIsReplacedByTheOthers() {
        ReplicaCountPlanner planner = new ReplicaCountPlanner(LIMITS);
        Map<String, Integer> before =
                planDuring(planner, 0, HOLD_SECONDS, 54, idle("a", 4), idle("b", 4), idle("c", 4));
        assertThat(before).containsExactly("a", 4, "b", 4, "c", 4);
        Map<String, Integer> atLoss =
                planDuring(planner, HOLD_SECONDS + 1, HOLD_SECONDS + 2, 54, idle("a", 4), idle("b", 4), idle("c", 0));
        assertWithMessage("the lost replicas are ordered at once").that(atLoss).containsExactlyEntriesIn(before);
        Map<String, Integer> later =
                planDuring(planner, HOLD_SECONDS + 3, HOLD_SECONDS + 15, 54, idle("a", 4), idle("b", 4), idle("c", 0));
        assertWithMessage("the others take over when the order has no effect")
                .that(later)
                .containsExactly("a", 6, "b", 6, "c", 4);
    }

    /** Guards against a domain whose new replicas boot in time and that is taken for failed. */
    @Test
    void failureDomainThatRecoversWithinTheBootTimeIsNotReplaced() {
        ReplicaCountPlanner planner = new ReplicaCountPlanner(LIMITS);
        planDuring(planner, 0, 50, 54, idle("a", 4), idle("b", 4), idle("c", 4));
        planDuring(planner, 51, 55, 54, idle("a", 4), idle("b", 4), new DomainReplicas("c", 0, 4, 0, 0));
        assertThat(planDuring(planner, 56, 70, 54, idle("a", 4), idle("b", 4), idle("c", 4)))
                .containsExactly("a", 4, "b", 4, "c", 4);
    }

    /** Guards against numbers that the platform refuses. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 1, 20, 500, 1e9})
    void numbersLieWithinTheLimits(double demand) {
        int replicas = planDuring(new ReplicaCountPlanner(LIMITS), 0, HOLD_SECONDS, demand, idle("a", 9))
                .getOrDefault("a", 0);
        assertThat(replicas).isAtLeast(LIMITS.min());
        assertThat(replicas).isAtMost(LIMITS.max());
    }
}
