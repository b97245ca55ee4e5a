package org.wagtailcart.usage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Model in virtual time of gateways that count, leaders that close and report windows, and the platform. */
final class UsageModel {
    static final long WINDOW_MILLIS = 5_000;
    static final long LATE_MILLIS = 10_000;
    static final long TRUE_START_MILLIS = 1_767_225_600_000L;
    static final long STEP_MILLIS = 2_400_000;
    private static final long POLL_MILLIS = 250;
    private static final long POLL_TIMEOUT_MILLIS = 700;
    private static final int MAX_SKEW_MILLIS = 15;
    private static final int MAX_DELAY_MILLIS = 10;

    /**
     * Load of a deployment.
     *
     * @param hosts number of gateways
     * @param workspaces number of workspaces, which share the load equally
     * @param meanIntervalMillis mean time between two requests of a gateway
     * @param exactClocks whether all estimates of true time are exact, so that each request has one right window
     */
    record Load(int hosts, int workspaces, int meanIntervalMillis, boolean exactClocks) {
        /** Many requests for each count, so that the tolerance of 5% applies. */
        static final Load DENSE = new Load(9, 4, 15, false);
        /** The same without errors of the clocks, so that each count can be compared with the truth. */
        static final Load EXACT = new Load(9, 4, 15, true);
        /** 82 requests a second of 80 workspaces at 26 gateways, one a second for each workspace. */
        static final Load DEPLOYMENT_A = new Load(26, 80, 317, false);
    }

    private record Event(long atMillis, long order, Runnable action) {}

    /** One run of a gateway process. Its monotonic clock has an origin of its own. */
    private final class Gateway {
        private final int host;
        /** Begins that are held by monotonic time are rounded to 10 ms, which exact clocks must not show. */
        private final long originMillis =
                load.exactClocks() ? random.nextInt(100_000) * 10L : random.nextInt(1_000_000);

        private final UsageCounter counter = new UsageCounter(WINDOW_MILLIS, 1 + random.nextLong(1L << 61));
        private final List<Long> begins = new ArrayList<>();
        private boolean killed;

        Gateway(int host) {
            this.host = host;
        }

        long monotonicMillis() {
            return nowMillis + originMillis;
        }

        void begin() {
            if (killed || nowMillis >= trafficEndsMillis) {
                return;
            }
            String workspace = "w" + random.nextInt(load.workspaces());
            counter.recordBegin(workspace, monotonicMillis());
            begins.add(nowMillis);
            truth.computeIfAbsent(Math.floorDiv(trueMillis(), WINDOW_MILLIS), window -> new HashMap<>())
                    .merge(workspace, 1L, Long::sum);
            after(1 + random.nextInt(2 * load.meanIntervalMillis()), this::begin);
        }

        void poll() {
            if (killed) {
                return;
            }
            long wallMillis = trueMillis() + skewMillis[host] + (isStepped(host) ? STEP_MILLIS : 0);
            Optional<UsageBatch> batch = counter.nextBatch(monotonicMillis(), monotonicMillis());
            sentCounts += batch.stream()
                    .flatMap(counts -> counts.windows().stream())
                    .mapToLong(window -> window.countByWorkspace().size())
                    .sum();
            Member member = leader;
            long composedAtMillis = nowMillis;
            Runnable deliver = () -> {
                member.receive("g" + host, load.exactClocks() ? trueMillis() : wallMillis, batch);
                batch.ifPresent(counts -> member.recordHandover(this, counts, composedAtMillis));
            };
            if (random.nextDouble() < lossShare || (nowMillis >= cutFromMillis && nowMillis < cutUntilMillis)) {
                after(POLL_TIMEOUT_MILLIS, this::poll);
                return;
            }
            if (random.nextDouble() < lossShare) {
                after(random.nextInt(4_000), deliver);
            }
            after(random.nextInt(MAX_DELAY_MILLIS), () -> {
                deliver.run();
                boolean replyLost = random.nextDouble() < lossShare;
                after(replyLost ? POLL_TIMEOUT_MILLIS : POLL_MILLIS, () -> {
                    if (!replyLost && !killed) {
                        counter.applyReply(
                                member.trueTime.at(nowMillis).orElse(0),
                                member.ledger.acknowledged("g" + host),
                                monotonicMillis());
                    }
                    poll();
                });
            });
        }
    }

    /** A control member while it leads. */
    private final class Member {
        private final TrueTime trueTime = new TrueTime();
        private final UsageLedger ledger = new UsageLedger();
        private final UsagePlanner planner = new UsagePlanner(WINDOW_MILLIS, LATE_MILLIS);
        private final long sinceMillis = nowMillis;
        /** Batches that, with those before, contain all counts of a gateway. */
        private final Map<Gateway, Set<Long>> handedOver = new HashMap<>();

        private final Map<Gateway, Long> handedOverUntilMillis = new HashMap<>();

        void receive(String processId, long wallMillis, Optional<UsageBatch> batch) {
            trueTime.record(processId, wallMillis, nowMillis);
            batch.ifPresentOrElse(
                    counts -> ledger.record(processId, counts, nowMillis),
                    () -> ledger.recordPoll(processId, nowMillis));
        }

        void recordHandover(Gateway gateway, UsageBatch batch, long composedAtMillis) {
            Set<Long> known = handedOver.computeIfAbsent(gateway, key -> new HashSet<>());
            if (batch.afterSequence() == 0 || known.contains(batch.afterSequence())) {
                known.add(batch.sequence());
                handedOverUntilMillis.merge(gateway, composedAtMillis, Math::max);
            }
        }

        /** Returns the number of requests in a window that killed gateways have not handed over to this member. */
        private long heldByKilled(long window) {
            return ended.stream()
                    .flatMap(gateway -> gateway.begins.stream()
                            .filter(begin -> begin >= handedOverUntilMillis.getOrDefault(gateway, 0L)))
                    .filter(begin -> Math.floorDiv(TRUE_START_MILLIS + begin, WINDOW_MILLIS) == window)
                    .count();
        }

        void plan() {
            if (leader != this) {
                return;
            }
            UsagePlan plan = planner.plan(
                    new UsageObservation(
                            nowMillis,
                            trueTime.at(nowMillis),
                            sinceMillis,
                            ledger.contactSinceMillis(nowMillis),
                            ledger.completeUntilMillis(nowMillis),
                            ledger.earliestWindow()),
                    state);
            plan.close().ifPresent(window -> {
                state = state.apply(new CloseUsageWindow(window, ledger.totals(window)));
                heldByKilledAtClose.put(window, heldByKilled(window));
                ledger.drop(window - UsagePlanner.MAX_OPEN_WINDOWS, nowMillis);
            });
            plan.report().ifPresent(this::report);
            after(100, this::plan);
        }

        private void report(ClosedUsageWindow window) {
            if (random.nextDouble() < lossShare) {
                planner.recordOutcome(UsageReportOutcome.UNKNOWN, nowMillis);
                return;
            }
            // A repetition of a report that was accepted in time, but not marked, is not late.
            boolean first = accepted.stream().noneMatch(earlier -> earlier.window() == window.window());
            lateReports += first && planner.latenessMillis(window.window(), trueMillis()) > 0 ? 1 : 0;
            accepted.add(window);
            // The response is lost, or the holder is killed before the mark.
            boolean marked = random.nextDouble() >= lossShare;
            planner.recordOutcome(marked ? UsageReportOutcome.ACCEPTED : UsageReportOutcome.UNKNOWN, nowMillis);
            if (marked) {
                state = state.apply(new MarkUsageReported(window.window()));
            }
        }
    }

    private final Random random;
    private final Load load;
    private final double lossShare;
    private final long trafficEndsMillis;
    private final long[] skewMillis;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Gateway> ended = new ArrayList<>();
    private long nowMillis;
    private long eventCount;
    private Member leader;
    private UsageState state = UsageState.EMPTY;
    private long steppedFromMillis = Long.MAX_VALUE;
    private long steppedUntilMillis = Long.MAX_VALUE;
    private long cutFromMillis = Long.MAX_VALUE;
    private long cutUntilMillis = Long.MAX_VALUE;

    final Map<Long, Map<String, Long>> truth = new HashMap<>();
    /** Number of requests in each window that killed gateways had not handed over when it was closed. */
    final Map<Long, Long> heldByKilledAtClose = new HashMap<>();

    final List<ClosedUsageWindow> accepted = new ArrayList<>();
    /** Upper bound of the requests whose counts may be lost. */
    long maxLost;

    long lateReports;
    /** Number of counts in all batches. */
    long sentCounts;

    UsageModel(long seed, Load load, double lossShare, long trafficMillis) {
        this.random = new Random(seed);
        this.load = load;
        this.lossShare = lossShare;
        this.trafficEndsMillis = trafficMillis;
        this.skewMillis = random.ints(load.hosts(), -MAX_SKEW_MILLIS, MAX_SKEW_MILLIS + 1)
                .asLongStream()
                .toArray();
        this.leader = new Member();
        leader.plan();
        for (int host = 0; host < load.hosts(); host++) {
            startGateway(host);
        }
    }

    private void startGateway(int host) {
        Gateway gateway = new Gateway(host);
        gateways.add(gateway);
        gateway.poll();
        after(1 + random.nextInt(2 * load.meanIntervalMillis()), gateway::begin);
    }

    private void after(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    private long trueMillis() {
        return TRUE_START_MILLIS + nowMillis;
    }

    private boolean isStepped(int host) {
        return host % 3 == 0 && nowMillis >= steppedFromMillis && nowMillis < steppedUntilMillis;
    }

    /** Kills a gateway at a time; its successor starts at once. */
    void killGatewayAt(long atMillis) {
        events.add(new Event(atMillis, eventCount++, () -> {
            Gateway gateway = gateways.remove(random.nextInt(gateways.size()));
            gateway.killed = true;
            ended.add(gateway);
            maxLost += begunSince(gateway, nowMillis - unsentMillis());
            startGateway(gateway.host);
        }));
    }

    /** Returns the longest time since the last poll that arrived; several in a row may be lost. */
    private long unsentMillis() {
        return lossShare > 0 ? 4 * POLL_TIMEOUT_MILLIS : POLL_MILLIS + MAX_DELAY_MILLIS;
    }

    /** Replaces the leader at a time; its successor knows the replicated state only. */
    void changeLeaderAt(long atMillis) {
        events.add(new Event(atMillis, eventCount++, () -> {
            maxLost += ended.stream()
                    .mapToLong(gateway ->
                            begunSince(gateway, nowMillis - 2 * WINDOW_MILLIS - UsagePlanner.MAX_GRACE_MILLIS))
                    .sum();
            leader = new Member();
            leader.plan();
        }));
    }

    /** Steps the clocks of a third of the hosts for a time. */
    void stepClocks(long fromMillis, long untilMillis) {
        steppedFromMillis = fromMillis;
        steppedUntilMillis = untilMillis;
    }

    /** Loses all polls for a time. */
    void cutGatewaysOff(long fromMillis, long untilMillis) {
        cutFromMillis = fromMillis;
        cutUntilMillis = untilMillis;
    }

    private static long begunSince(Gateway gateway, long sinceMillis) {
        return gateway.begins.stream().filter(begin -> begin >= sinceMillis).count();
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.element().atMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            event.action().run();
        }
    }

    /** Returns the accepted counts of each window. */
    Map<Long, Map<String, Long>> acceptedCounts() {
        Map<Long, Map<String, Long>> counts = new HashMap<>();
        accepted.forEach(window -> counts.put(window.window(), window.countByWorkspace()));
        return counts;
    }

    static long total(Map<Long, Map<String, Long>> counts) {
        return counts.values().stream()
                .flatMap(window -> window.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }
}
