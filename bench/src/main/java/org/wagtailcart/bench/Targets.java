package org.wagtailcart.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Checks results against the targets of design section 12. */
final class Targets {
    private static final String BASELINE_METRIC_PREFIX = "goodput against baseline ";

    private Targets() {}

    /**
     * A missed target.
     *
     * @param againstBaseline whether the target is the goodput of a simple baseline
     * @param text the run, the metric, its value and the target
     */
    record Miss(boolean againstBaseline, String text) {}

    /** Returns the targets that {@link Contender#WAGTAILCART} misses in the given results. */
    static List<Miss> misses(List<Result> results) {
        return results.stream()
                .filter(result -> result.contender() == Contender.WAGTAILCART)
                .flatMap(result -> missedBy(result, results).stream())
                .toList();
    }

    private static List<Miss> missedBy(Result own, List<Result> results) {
        List<Result> same = results.stream()
                .filter(other -> other.scenario() == own.scenario() && other.deployment() == own.deployment())
                .toList();
        List<Miss> missed = new ArrayList<>();
        Result informed = find(same, other -> other.contender() == Contender.INFORMED)
                .max(Comparator.comparingDouble(Result::goodput))
                .orElse(own);
        check(
                missed,
                own,
                "goodput against informed",
                own.goodput() / informed.goodput(),
                Limits.MIN_GOODPUT_OF_INFORMED,
                true);
        Optional<Result> best =
                find(same, other -> other.contender().baseline()).max(Comparator.comparingDouble(Result::goodput));
        best.ifPresent(baseline -> check(
                missed,
                own,
                BASELINE_METRIC_PREFIX + baseline.contender().label(),
                own.goodput() / baseline.goodput(),
                1,
                true));
        // A lasting shift of the mix needs as many role changes as the informed policy makes.
        int allowed = own.scenario().allowsRoleChanges() ? informed.roleChanges() : 0;
        check(missed, own, "role changes", own.roleChanges(), allowed, false);
        check(missed, own, "time above power limit", own.overPower(), Limits.MAX_POWER_OVERLOAD_SHARE, false);
        check(missed, own, "retry amplification", own.retryAmplification(), Limits.MAX_RETRY_AMPLIFICATION, false);
        if (own.scenario() == Scenario.OVERLOAD) {
            check(
                    missed,
                    own,
                    "interactive within limits",
                    own.interactiveGood(),
                    Limits.MIN_INTERACTIVE_GOOD_SHARE,
                    true);
        }
        return missed;
    }

    private static Stream<Result> find(List<Result> results, Predicate<Result> condition) {
        return results.stream().filter(condition);
    }

    private static void check(
            List<Miss> missed, Result own, String metric, double value, double target, boolean atLeast) {
        boolean met = atLeast ? value >= target : value <= target;
        if (!met) {
            String text = String.format(
                    Locale.ROOT,
                    "%s %s seed %d: %s is %.4f, target %s %.4f",
                    own.scenario(),
                    own.deployment(),
                    own.seed(),
                    metric,
                    value,
                    atLeast ? "at least" : "at most",
                    target);
            missed.add(new Miss(metric.startsWith(BASELINE_METRIC_PREFIX), text));
        }
    }
}
