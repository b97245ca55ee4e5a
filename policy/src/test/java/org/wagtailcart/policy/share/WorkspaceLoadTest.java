package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.policy.share.ContendedService.Arrival;
import org.wagtailcart.policy.share.ContendedService.Fault;
import org.wagtailcart.policy.share.ContendedService.Kind;
import org.wagtailcart.policy.share.ContendedService.Policy;
import org.wagtailcart.policy.share.ContendedService.Score;

/**
 * Guards against workspaces that displace others from a contended service, and against shares that cost more than they
 * protect. Each load is served without shares, with a token bucket for each workspace and with shares.
 */
class WorkspaceLoadTest {
    private static final long MILLIS = 30_000;
    /** Requests of the first seconds, in which the demand becomes known, do not count. */
    private static final long COUNTED_FROM_MILLIS = 5_000;
    /** Time at which {@link ContendedService} fails. */
    private static final long FAULT_FROM_MILLIS = 10_000;
    /** Arrivals in a second of the long, medium and short prompts of deployment A, whose sum takes 3.9 engines. */
    private static final List<Double> KIND_RATES = List.of(17.0, 20.6, 19.1);

    private final Random random = new Random(20261206);

    /** Adds the arrivals of one kind with exponential gaps. */
    private List<Arrival> arrivals(String workspace, Kind kind, double perSecond, long fromMillis, long toMillis) {
        List<Arrival> load = new ArrayList<>();
        double atMillis = fromMillis - 1_000 / perSecond * Math.log(1 - random.nextDouble());
        for (; atMillis < toMillis; atMillis -= 1_000 / perSecond * Math.log(1 - random.nextDouble())) {
            load.add(new Arrival((long) atMillis, (long) atMillis, workspace, kind, false));
        }
        return load;
    }

    /** Returns the arrivals of a workspace that sends all kinds, at a part of the rates of deployment A. */
    private List<Arrival> mixed(String workspace, double part) {
        return IntStream.range(0, KIND_RATES.size())
                .mapToObj(i -> arrivals(workspace, Kind.ALL.get(i), part * KIND_RATES.get(i), 0, MILLIS))
                .flatMap(List::stream)
                .toList();
    }

    private static List<Arrival> join(Stream<List<Arrival>> parts) {
        return parts.flatMap(List::stream).toList();
    }

    private static Map<Policy, Score> serve(String name, List<Arrival> load, long fromMillis) {
        Map<Policy, Score> scores = new EnumMap<>(Policy.class);
        for (Policy policy : Policy.values()) {
            scores.put(policy, ContendedService.run(policy, Fault.NONE, load, fromMillis));
            System.out.println(name + " " + policy + ": " + scores.get(policy));
        }
        return scores;
    }

    /**
     * Checks that shares protect the worst-off workspaces and kinds better than both alternatives. The buckets know the
     * exact capacity, which shares have to find; for that they may cost a few more requests.
     */
    private static void assertProtects(Map<Policy, Score> scores) {
        Score shares = Objects.requireNonNull(scores.get(Policy.SHARES));
        assertThat(shares.worstTenth()).isGreaterThan(best(scores, Score::worstTenth));
        assertThat(shares.worstKind()).isGreaterThan(best(scores, Score::worstKind));
        assertThat(shares.goodput()).isAtLeast(best(scores, Score::goodput) - 0.03);
    }

    private static double best(Map<Policy, Score> scores, Function<Score, Double> value) {
        return Stream.of(Policy.NO_SHARES, Policy.TOKEN_BUCKETS)
                .map(policy -> value.apply(Objects.requireNonNull(scores.get(policy))))
                .max(Double::compare)
                .orElseThrow();
    }

    @Test
    void oneGreedyWorkspaceBesideFortySmallOnes() {
        List<Arrival> load = join(Stream.concat(
                Stream.of(mixed("greedy", 1.2)), IntStream.range(0, 40).mapToObj(i -> mixed("w" + i, 0.3 / 40))));
        assertProtects(serve("one greedy", load, COUNTED_FROM_MILLIS));
    }

    /**
     * Guards against gateways that double the shares, or refuse everything, without their leader: in the 20 s after a
     * fault the small workspaces are served nearly as without it, and the capacity is used.
     */
    @ParameterizedTest
    @EnumSource(names = {"GATEWAYS_CUT_OFF", "LEADER_CHANGE", "RESTART"})
    void oneGreedyWorkspaceDuringAFault(Fault fault) {
        List<Arrival> load = join(Stream.concat(
                Stream.of(mixed("greedy", 1.2)), IntStream.range(0, 40).mapToObj(i -> mixed("w" + i, 0.3 / 40))));
        Score without = ContendedService.run(Policy.SHARES, Fault.NONE, load, FAULT_FROM_MILLIS);
        Score with = ContendedService.run(Policy.SHARES, fault, load, FAULT_FROM_MILLIS);
        System.out.println("one greedy " + fault + ": " + with + "; without: " + without);
        assertThat(with.worstTenth()).isAtLeast(without.worstTenth() - 0.1);
        assertThat(with.goodput()).isAtLeast(without.goodput() - 0.05);
    }

    /** Guards against weights that are ignored, by the leader, after a change of it or by gateways without it. */
    @ParameterizedTest
    @EnumSource
    void twoWorkspacesOfWeightOneAndThreeEachAskForTheCapacity(Fault fault) {
        List<Arrival> load = join(Stream.of("one", "three").map(name -> mixed(name, 0.8)));
        Map<String, Double> served =
                ContendedService.servedCosts(Map.of("three", 3), fault, load, FAULT_FROM_MILLIS + 2_000);
        System.out.println("weights 1 and 3, " + fault + ": " + served);
        double ratio = served.getOrDefault("three", 0.0) / served.getOrDefault("one", 0.0);
        assertThat(ratio).isWithin(0.6).of(3);
    }

    @Test
    void eightyEqualWorkspacesAskForMoreThanTheCapacity() {
        List<Arrival> load = join(IntStream.range(0, 80).mapToObj(i -> mixed("w" + i, 1.2 / 80)));
        assertProtects(serve("eighty equal", load, COUNTED_FROM_MILLIS));
    }

    @Test
    void threeLargeWorkspacesBesideSeventySevenSmallOnes() {
        List<Arrival> load = join(Stream.concat(
                IntStream.range(0, 3).mapToObj(i -> mixed("large" + i, 0.3)),
                IntStream.range(0, 77).mapToObj(i -> mixed("w" + i, 0.4 / 77))));
        assertProtects(serve("three large", load, COUNTED_FROM_MILLIS));
    }

    @Test
    void equalCostInLongAndInShortRequests() {
        List<Arrival> load = join(IntStream.range(0, 40).mapToObj(i -> {
            Kind kind = Kind.ALL.get(i % 2 == 0 ? 0 : 2);
            return arrivals("w" + i, kind, 1.3 * ContendedService.CAPACITY / 40 / kind.cost(), 0, MILLIS);
        }));
        assertProtects(serve("equal cost", load, COUNTED_FROM_MILLIS));
    }

    /** Within 300 ms each of 80 workspaces sends what it usually sends in 4 s, and then 0.7 of the capacity. */
    @Test
    void returnOfAllCallersAfterAnOutage() {
        List<Arrival> load = join(IntStream.range(0, 80).mapToObj(i -> {
            List<Arrival> all = new ArrayList<>(mixed("w" + i, 0.55 / 80));
            IntStream.range(0, 3)
                    .forEach(k -> all.addAll(
                            arrivals("w" + i, Kind.ALL.get(k), KIND_RATES.get(k) * 0.55 / 80 * 4_000 / 300, 0, 300)));
            return all;
        }));
        Map<Policy, Score> scores = serve("return", load, 0);
        Score shares = Objects.requireNonNull(scores.get(Policy.SHARES));
        Score noShares = Objects.requireNonNull(scores.get(Policy.NO_SHARES));
        // No workspace asks for more than another, so that there is nothing to protect; shares must not cost much.
        assertThat(shares.goodput()).isAtLeast(noShares.goodput() - 0.02);
        assertThat(shares.worstTenth()).isAtLeast(noShares.worstTenth() - 0.05);
        assertThat(shares.worstKind()).isAtLeast(noShares.worstKind() - 0.02);
    }
}
