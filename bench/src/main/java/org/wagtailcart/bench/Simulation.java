package org.wagtailcart.bench;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;
import org.wagtailcart.policy.role.RoleCounts;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingRequest;

/** Discrete-event simulation of a deployment under one scenario and one contender. */
final class Simulation {
    static final int ENTRIES = 3;
    private static final double SYNC_INTERVAL_MILLIS = 1_000;
    /** Time after the last arrival in which batch requests can still finish within their deadline. */
    private static final double DRAIN_MILLIS = RequestKind.BATCH_DEADLINE_MILLIS;

    private final Scenario scenario;
    private final Deployment deployment;
    private final Contender contender;
    private final long seed;
    private final SplittableRandom random;
    private final EventLoop loop = new EventLoop();
    private final PowerFeed feed;
    private final Map<String, SimEngine> engines = new TreeMap<>();
    private final Map<String, SimService> services = new TreeMap<>();
    private final BaselineRouter informed;
    private final List<SimEntry> entries;
    private final SimControl control;

    Simulation(Scenario scenario, Deployment deployment, Contender contender, long seed) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.contender = contender;
        this.seed = seed;
        this.random = new SplittableRandom(seed + 1);
        this.feed = new PowerFeed(scenario, loop);
        this.informed = BaselineRouter.informed(this::informedCost, this::usable);
        createFleet();
        this.entries = IntStream.range(0, ENTRIES)
                .mapToObj(i -> new SimEntry(this, domain(i), contender.router(this, i)))
                .toList();
        this.control = new SimControl(this);
    }

    private void createFleet() {
        List<EngineRole> roles = initialRoles();
        IntStream.range(0, deployment.engines).forEach(i -> {
            String id = "engine-%02d".formatted(i);
            engines.put(id, new SimEngine(id, domain(i), roles.get(i), loop, feed, scenario.noise(), random.split()));
        });
        IntStream.range(0, deployment.services).forEach(i -> {
            SimService service = new SimService(i, domain(i), scenario, loop, random.split());
            services.put(service.id, service);
        });
    }

    private List<EngineRole> initialRoles() {
        RoleCounts split = bestSplit(scenario.phases().get(0));
        return Stream.of(EngineRole.values())
                .flatMap(role -> IntStream.range(0, split.of(role)).mapToObj(i -> role))
                .toList();
    }

    private String domain(int index) {
        return "domain-" + index % deployment.domains;
    }

    Result run() {
        List<SimRequest> requests = Workload.generate(scenario, deployment, seed, ENTRIES).stream()
                .map(this::schedule)
                .toList();
        engines.values()
                .forEach(engine -> loop.every(
                        random.nextDouble() * SYNC_INTERVAL_MILLIS, SYNC_INTERVAL_MILLIS, () -> sync(engine)));
        loop.every(0, SYNC_INTERVAL_MILLIS / 2, control::tickPower);
        loop.every(0, SYNC_INTERVAL_MILLIS, control::tickRoles);
        entries.forEach(entry -> {
            loop.every(0, SYNC_INTERVAL_MILLIS, () -> entry.updateUpstreams(control.routableUpstreams()));
            loop.every(0, SYNC_INTERVAL_MILLIS / 4, entry::tick);
        });
        scenario.engineCrashes().forEach(this::scheduleCrash);
        loop.runUntil(Scenario.END_MILLIS + DRAIN_MILLIS);
        return result(requests);
    }

    private SimRequest schedule(Arrival arrival) {
        SimRequest request = new SimRequest(arrival);
        SimEntry entry = entries.get(arrival.entry());
        loop.after(arrival.atMillis() + deployment.callerLatencyMillis, () -> entry.onArrival(request));
        return request;
    }

    private void scheduleCrash(Scenario.EngineCrash loss) {
        List<SimEngine> all = List.copyOf(engines.values());
        SimEngine engine = all.get((int) (loss.position() * all.size()));
        loop.after((double) loss.atMillis(), engine::crash);
        loop.after((double) loss.restartMillis(), engine::restart);
    }

    /**
     * Simulates a sync of a sidecar, which sends a load report and receives a power grant. A lost sync does neither; the
     * informed policy loses none.
     */
    private void sync(SimEngine engine) {
        long now = loop.nowMillis();
        EngineObservation report = engine.report();
        boolean lost = random.nextDouble() < scenario.reportLossProbability(now);
        if (lost && contender != Contender.INFORMED) {
            return;
        }
        control.grantOf(engine.id).ifPresent(grant -> engine.grantUntil((double) grant.deadlineMillis()));
        double lag = scenario.reportLagMillis(now) * (0.6 + 0.8 * random.nextDouble());
        loop.after(lag, () -> control.onReport(report));
        entries.forEach(entry -> loop.after(
                lag + random.nextDouble() * SYNC_INTERVAL_MILLIS,
                () -> entry.onLoadReport(report.upstreamId(), report.running(), report.queued())));
    }

    private Result result(List<SimRequest> requests) {
        List<SimRequest> counted = requests.stream()
                .filter(request -> request.arrivalMillis >= Scenario.WARM_UP_MILLIS)
                .toList();
        double seconds = (Scenario.END_MILLIS - Scenario.WARM_UP_MILLIS) / 1_000.0;
        return new Result(
                scenario,
                deployment,
                contender,
                seed,
                count(counted, SimRequest::good) / seconds,
                counted.size() / seconds,
                control.roleChanges(),
                (int) count(counted, request -> request.refused),
                (int) count(counted, request -> request.failed),
                share(counted, request -> request.kind == RequestKind.BATCH),
                share(counted, request -> request.kind == RequestKind.COUNTER),
                amplification(counted),
                feed.overloadShare(),
                firstTokenP95(counted));
    }

    private static long count(List<SimRequest> requests, Predicate<SimRequest> condition) {
        return requests.stream().filter(condition).count();
    }

    private static double share(List<SimRequest> requests, Predicate<SimRequest> group) {
        List<SimRequest> members = requests.stream().filter(group).toList();
        return count(members, SimRequest::good) / (double) Math.max(1, members.size());
    }

    private static double amplification(List<SimRequest> requests) {
        long started = count(requests, request -> request.attempts > 0);
        long attempts = requests.stream().mapToLong(request -> request.attempts).sum();
        return attempts / (double) Math.max(1, started);
    }

    private static long firstTokenP95(List<SimRequest> requests) {
        Histogram histogram = new Histogram(3);
        requests.stream()
                .filter(request -> request.generatedTokens > 0 && request.kind != RequestKind.BATCH)
                .forEach(request ->
                        histogram.recordValue(Math.max(0, (long) (request.firstTokenMillis - request.arrivalMillis))));
        return histogram.getValueAtPercentile(95);
    }

    /**
     * Returns the cost from the true state of the engine: the fill of its in-flight limit where it decodes plus the
     * seconds of uncached prefill work where it prefills.
     */
    private double informedCost(BaselineRouter.OutstandingLoad account, RoutingRequest request) {
        SimEngine engine = engines.get(account.upstream.upstreamId());
        if (engine == null) {
            return account.inFlight;
        }
        double fill = account.inFlight / (double) account.upstream.maxInFlight();
        if (!engine.role.supportsPrefill()) {
            return fill;
        }
        double prompt = account.promptTokens + request.promptTokens() - engine.cachedTokens(request.prefixHashes());
        double seconds = prompt / CostModel.PREFILL_TOKENS_PER_MILLI / 1_000;
        return engine.role == EngineRole.PREFILL ? seconds : fill + seconds;
    }

    private boolean usable(String upstreamId) {
        SimEngine engine = engines.get(upstreamId);
        SimService service = services.get(upstreamId);
        return engine == null ? service != null && service.isUp() : engine.accepting();
    }

    RoleCounts bestSplit(Phase phase) {
        return RoleCounts.best(
                deployment.engines,
                phase.mix().demand(Workload.rate(phase, deployment)),
                Workload.roleOptions(deployment));
    }

    SimEngine engine(String id) {
        return require(engines.get(id), id);
    }

    SimService service(String id) {
        return require(services.get(id), id);
    }

    private static <T> T require(@org.jspecify.annotations.Nullable T value, String id) {
        if (value == null) {
            throw new IllegalArgumentException("upstream " + id + " does not exist");
        }
        return value;
    }

    Stream<SimEngine> engines() {
        return engines.values().stream();
    }

    Stream<SimService> services() {
        return services.values().stream();
    }

    List<SimEntry> entries() {
        return entries;
    }

    Router informedRouter() {
        return informed;
    }

    EventLoop loop() {
        return loop;
    }

    Scenario scenario() {
        return scenario;
    }

    Deployment deployment() {
        return deployment;
    }

    Contender contender() {
        return contender;
    }

    long seed() {
        return seed;
    }
}
