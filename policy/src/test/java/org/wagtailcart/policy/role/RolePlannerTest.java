package org.wagtailcart.policy.role;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;

/** Guards against role changes that leave a role unserved, do not pay off or ignore the weights. */
class RolePlannerTest {
    private static final RoleOptions OPTIONS = RoleOptions.defaults(10_000, 1_667);
    private static final Demand BALANCED = new Demand(30_000, 12_000);
    private static final Demand PROMPTS = new Demand(64_000, 8_000);
    private static final long ROLE_CHANGE_MILLIS = 25_000;

    /**
     * Guards against a role left without a serving engine, and against too many engines out of service, for any demand.
     */
    @Property(seed = "4711", tries = 200)
    void neverChangesTheLastOfARoleAndFewAreOutOfService(
            @ForAll @IntRange(min = 1, max = 9) int prefill,
            @ForAll @IntRange(min = 1, max = 9) int decode,
            @ForAll @IntRange(max = 3) int mixed,
            @ForAll @Size(min = 1, max = 12) List<@DoubleRange(max = 120_000) Double> promptDemands) {
        Fleet fleet = new Fleet(OPTIONS, prefill, decode, mixed);
        for (double prompt : promptDemands) {
            fleet.run(40_000, at -> new Demand(prompt, 9_000));
        }
        assertThat(fleet.minServing).isAtLeast(1);
        assertThat(fleet.maxOutOfService).isAtMost(Math.max(1, (prefill + decode + mixed) / 6));
    }

    /**
     * Guards against role changes for noise, bursts and oscillations, and against none for a sustained shift of demand.
     */
    @ParameterizedTest
    @CsvSource({"600000, 0, 0", "10000, 0, 0", "15000, 0, 0", "0, 2, 4"})
    void onlyASustainedShiftChangesRoles(long returnMillis, int least, int most) {
        Fleet fleet = new Fleet(OPTIONS, 4, 9, 0);
        fleet.run(600_000, at -> shifted(at, returnMillis) ? PROMPTS : BALANCED);
        assertThat(fleet.changes).isAtLeast(least);
        assertThat(fleet.changes).isAtMost(most);
    }

    private static boolean shifted(long at, long returnMillis) {
        return returnMillis == 0 || at % (2 * returnMillis) >= returnMillis;
    }

    /** Guards against a role change weight that has no effect. */
    @Test
    void aHighChangeWeightKeepsRoles() {
        Fleet fleet = new Fleet(OPTIONS.withWeights(1, 1_000), 4, 9, 0);
        fleet.run(600_000, at -> PROMPTS);
        assertThat(fleet.changes).isEqualTo(0);
    }

    private static final class Fleet {
        private final RolePlanner planner;
        private final List<EngineRole> roles = new ArrayList<>();
        private final Map<Integer, Long> backInServiceAtMillis = new HashMap<>();
        private long now;
        private int changes;
        private int maxOutOfService;
        private int minServing = Integer.MAX_VALUE;

        Fleet(RoleOptions options, int prefill, int decode, int mixed) {
            planner = new RolePlanner(options);
            IntStream.range(0, prefill).forEach(i -> roles.add(EngineRole.PREFILL));
            IntStream.range(0, decode).forEach(i -> roles.add(EngineRole.DECODE));
            IntStream.range(0, mixed).forEach(i -> roles.add(EngineRole.MIXED));
        }

        void run(long millis, LongFunction<Demand> demand) {
            for (long end = now + millis; now < end; now += 1_000) {
                backInServiceAtMillis.values().removeIf(atMillis -> atMillis <= now);
                planner.plan(observations(), demand.apply(now), now).forEach(this::changeRole);
                maxOutOfService = Math.max(maxOutOfService, backInServiceAtMillis.size());
            }
        }

        private void changeRole(RoleChange change) {
            int engine = Integer.parseInt(change.upstreamId());
            changes++;
            backInServiceAtMillis.put(engine, now + ROLE_CHANGE_MILLIS);
            roles.set(engine, change.to());
            long serving = IntStream.range(0, roles.size())
                    .filter(i -> roles.get(i) == change.from() && !backInServiceAtMillis.containsKey(i))
                    .count();
            minServing = (int) Math.min(minServing, serving);
        }

        private List<EngineObservation> observations() {
            return IntStream.range(0, roles.size())
                    .mapToObj(i -> new EngineObservation(
                            "" + i,
                            roles.get(i),
                            true,
                            backInServiceAtMillis.containsKey(i),
                            1,
                            0,
                            0,
                            0,
                            1,
                            30,
                            true,
                            now))
                    .toList();
        }
    }
}
