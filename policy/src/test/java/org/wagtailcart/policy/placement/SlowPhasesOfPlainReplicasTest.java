package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls that are late because their replica is in a slow phase: 3 replicas of 6 slots, 21 ms a call, 15%
 * of the time 2.5 times as slow in phases of about 600 ms, called by 23 gateways that do not know each other's samples.
 */
class SlowPhasesOfPlainReplicasTest {
    private static final int GATEWAYS = 23;
    private static final int REPLICAS = 3;
    private static final int SLOTS = 6;
    private static final double CALL_MILLIS = 21;
    /** Deviation of a call, as between 60 and 86 ms at the replicas of deployment A. */
    private static final double NOISE = 0.18;

    private static final double TARGET_MILLIS = 155;
    private static final double PHASE_MILLIS = 600;
    private static final double SLOW_SHARE = 0.15;
    private static final double END_MILLIS = 600_000;
    /** Weight and age limit of the latency average of a gateway. */
    private static final double LATENCY_WEIGHT = 0.2;

    private static final double LATENCY_MAX_AGE_MILLIS = 5_000;

    /** Ways to choose a replica. */
    private enum Choice {
        /** The average of a gateway's own samples, as before {@link RecentLatency}. */
        AVERAGE,
        /** That of gateways. */
        RECENT,
        /** The replica that will finish first; needs knowledge that no gateway has. */
        INFORMED
    }

    private record Call(int gateway, int replica, double startMillis, double endMillis) {}

    private record Result(double meanMillis, double inTime, double slowShare) {}

    /** Replicas whose slow phases depend on the seed only. */
    private static final class Fleet {
        private final double[][] phaseEndsMillis;
        private final double slowdown;
        private final Random noise;
        private final double[][] slotFreeMillis = new double[REPLICAS][SLOTS];

        Fleet(long seed, double slowdown) {
            this.slowdown = slowdown;
            this.noise = new Random(seed + 2);
            Random random = new Random(seed);
            double normalMillis = PHASE_MILLIS * (1 - SLOW_SHARE) / SLOW_SHARE;
            phaseEndsMillis = IntStream.range(0, REPLICAS)
                    .mapToObj(replica -> {
                        double[] ends = new double[4_000];
                        for (int i = 0; i < ends.length; i++) {
                            double length = i % 2 == 0 ? normalMillis : PHASE_MILLIS;
                            ends[i] = (i == 0 ? 0 : ends[i - 1]) + length * (0.5 + random.nextDouble());
                        }
                        return ends;
                    })
                    .toArray(double[][]::new);
        }

        boolean isSlow(int replica, double nowMillis) {
            int at = Arrays.binarySearch(phaseEndsMillis[replica], nowMillis);
            return (at < 0 ? -at - 1 : at) % 2 == 1;
        }

        double finishMillis(int replica, double nowMillis) {
            double startMillis = Math.max(
                    nowMillis, Arrays.stream(slotFreeMillis[replica]).min().orElseThrow());
            return startMillis + CALL_MILLIS * (isSlow(replica, startMillis) ? slowdown : 1);
        }

        double run(int replica, double nowMillis) {
            double noiseMillis = NOISE * CALL_MILLIS * (2 * noise.nextDouble() - 1);
            double finishMillis = finishMillis(replica, nowMillis) + noiseMillis;
            Arrays.sort(slotFreeMillis[replica]);
            slotFreeMillis[replica][0] = finishMillis;
            return finishMillis;
        }

        int inFlight(int replica, double nowMillis) {
            return (int) Arrays.stream(slotFreeMillis[replica])
                    .filter(freeMillis -> freeMillis > nowMillis)
                    .count();
        }
    }

    /** What gateways know of the replicas. */
    private static final class Samples {
        private final double[][] averageMillis = new double[GATEWAYS][REPLICAS];
        private final double[][] lastMillis = new double[GATEWAYS][REPLICAS];
        private final double[][] sampledAtMillis = new double[GATEWAYS][REPLICAS];
        private final Deque<Call> pending = new ArrayDeque<>();

        Samples() {
            Arrays.stream(averageMillis).forEach(row -> Arrays.fill(row, CALL_MILLIS));
            Arrays.stream(lastMillis).forEach(row -> Arrays.fill(row, CALL_MILLIS));
        }

        void recordUntil(double nowMillis) {
            pending.stream().filter(call -> call.endMillis <= nowMillis).forEach(this::record);
            pending.removeIf(call -> call.endMillis <= nowMillis);
        }

        private void record(Call call) {
            double tookMillis = call.endMillis - call.startMillis;
            averageMillis[call.gateway][call.replica] +=
                    LATENCY_WEIGHT * (tookMillis - averageMillis[call.gateway][call.replica]);
            lastMillis[call.gateway][call.replica] = tookMillis;
            sampledAtMillis[call.gateway][call.replica] = call.endMillis;
        }

        double expectedMillis(int gateway, int replica, double nowMillis) {
            double ageMillis = nowMillis - sampledAtMillis[gateway][replica];
            double average = averageMillis[gateway][replica];
            double mean = Arrays.stream(averageMillis[gateway]).average().orElseThrow();
            return ageMillis > LATENCY_MAX_AGE_MILLIS ? Math.min(mean, average) : average;
        }

        boolean isSlow(int gateway, int replica, double nowMillis) {
            double pendingMillis = pending.stream()
                    .filter(call -> call.gateway == gateway && call.replica == replica)
                    .mapToDouble(call -> nowMillis - call.startMillis)
                    .max()
                    .orElse(0);
            return RecentLatency.isSlow(
                    averageMillis[gateway][replica],
                    lastMillis[gateway][replica],
                    nowMillis - sampledAtMillis[gateway][replica],
                    pendingMillis);
        }
    }

    private static Result run(Choice choice, double callsPerSecond, long seed, double slowdown) {
        Fleet fleet = new Fleet(seed, slowdown);
        Samples samples = new Samples();
        Random random = new Random(seed + 1);
        double sumMillis = 0;
        int calls = 0;
        int inTime = 0;
        int slow = 0;
        double nowMillis = 0;
        while (nowMillis < END_MILLIS) {
            nowMillis -= Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond;
            int gateway = random.nextInt(GATEWAYS);
            samples.recordUntil(nowMillis);
            int replica = choose(choice, fleet, samples, gateway, nowMillis);
            slow += fleet.isSlow(replica, nowMillis) ? 1 : 0;
            double endMillis = fleet.run(replica, nowMillis);
            samples.pending.add(new Call(gateway, replica, nowMillis, endMillis));
            calls++;
            sumMillis += endMillis - nowMillis;
            inTime += endMillis - nowMillis <= TARGET_MILLIS ? 1 : 0;
        }
        return new Result(sumMillis / calls, (double) inTime / calls, (double) slow / calls);
    }

    private static int choose(Choice choice, Fleet fleet, Samples samples, int gateway, double nowMillis) {
        List<ReplicaCandidate> candidates = IntStream.range(0, REPLICAS)
                .mapToObj(replica -> new ReplicaCandidate(
                        Integer.toString(replica),
                        Integer.toString(replica),
                        SLOTS,
                        choice == Choice.INFORMED ? 0 : fleet.inFlight(replica, nowMillis),
                        choice == Choice.INFORMED
                                ? fleet.finishMillis(replica, nowMillis) - nowMillis
                                : samples.expectedMillis(gateway, replica, nowMillis),
                        choice == Choice.RECENT && samples.isSlow(gateway, replica, nowMillis)))
                .toList();
        return Integer.parseInt(ReplicaPlacement.choose(candidates, Integer.toString(gateway % REPLICAS))
                .orElseThrow()
                .id());
    }

    /** The load of deployment B, its largest burst, and three times that. */
    @ParameterizedTest
    @CsvSource({"30.9, 1", "30.9, 2", "71, 3", "213, 4"})
    void recentTimesKeepCallsOutOfSlowPhases(double callsPerSecond, long seed) {
        Result average = run(Choice.AVERAGE, callsPerSecond, seed, 2.5);
        Result recent = run(Choice.RECENT, callsPerSecond, seed, 2.5);
        Result informed = run(Choice.INFORMED, callsPerSecond, seed, 2.5);
        String results = callsPerSecond + "/s: average " + average + ", recent " + recent + ", informed " + informed;
        System.getLogger(getClass().getName()).log(System.Logger.Level.INFO, results);
        assertWithMessage(results).that(recent.inTime).isAtLeast(average.inTime);
        assertWithMessage(results).that(recent.inTime).isAtLeast(0.999 * informed.inTime);
        assertWithMessage(results).that(recent.slowShare).isLessThan(0.9 * average.slowShare);
        assertWithMessage(results).that(recent.meanMillis).isLessThan(average.meanMillis);
    }

    /** Replicas without slow phases must be used as before. */
    @ParameterizedTest
    @CsvSource({"30.9, 1", "71, 3", "213, 4", "600, 5"})
    void aUniformFleetIsServedAsBefore(double callsPerSecond, long seed) {
        Result average = run(Choice.AVERAGE, callsPerSecond, seed, 1);
        Result recent = run(Choice.RECENT, callsPerSecond, seed, 1);
        String results = callsPerSecond + "/s: average " + average + ", recent " + recent;
        System.getLogger(getClass().getName()).log(System.Logger.Level.INFO, results);
        assertWithMessage(results).that(recent.inTime).isAtLeast(average.inTime);
        assertWithMessage(results).that(recent.meanMillis).isAtMost(1.01 * average.meanMillis);
    }
}
