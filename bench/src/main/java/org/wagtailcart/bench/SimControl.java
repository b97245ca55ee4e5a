package org.wagtailcart.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;
import org.wagtailcart.policy.power.EngineGrant;
import org.wagtailcart.policy.power.GrantAllocator;
import org.wagtailcart.policy.power.PowerController;
import org.wagtailcart.policy.power.PowerOptions;
import org.wagtailcart.policy.role.Demand;
import org.wagtailcart.policy.role.RoleChange;
import org.wagtailcart.policy.role.RoleCounts;
import org.wagtailcart.policy.role.RolePlanner;
import org.wagtailcart.policy.routing.RoutableUpstream;

/** The control leader: collects late reports, hands out grants, plans role changes. */
final class SimControl {
    /** Time before a known shift at which the informed policy starts to move engines. */
    private static final long LOOKAHEAD_MILLIS = 15_000;

    /** Phases shorter than this are not worth a move to the informed policy. */
    private static final long SUSTAINED_MILLIS = 60_000;

    private static final int INFORMED_MOVES_AT_ONCE = 2;
    /** Requests beyond the batch limit that an entry may leave waiting at an engine, to keep the batch full. */
    private static final int SPARE_REQUESTS = 4;

    private final Simulation simulation;
    private final EventLoop loop;
    private final Map<String, EngineObservation> observations = new TreeMap<>();
    private final Map<String, EngineRole> moving = new HashMap<>();
    private final PowerController power = new PowerController(PowerOptions.defaults());
    private final GrantAllocator givenGrants =
            new GrantAllocator(PowerOptions.defaults().grantMillis());
    private final RolePlanner planner;
    private Map<String, EngineGrant> grants = Map.of();
    private double uncachedShare = 0.7;
    private int roleChanges;

    SimControl(Simulation simulation) {
        this.simulation = simulation;
        this.loop = simulation.loop();
        this.planner = new RolePlanner(Workload.roleOptions(simulation.deployment()));
    }

    int roleChanges() {
        return roleChanges;
    }

    void onReport(EngineObservation observation) {
        EngineObservation known = observations.get(observation.upstreamId());
        if (known == null || known.measuredAtMillis() < observation.measuredAtMillis()) {
            observations.put(observation.upstreamId(), observation);
        }
    }

    Optional<EngineGrant> grantOf(String upstreamId) {
        return Optional.ofNullable(grants.get(upstreamId));
    }

    /** Hands out grants; every half second. */
    void tickPower() {
        List<EngineObservation> known = known();
        long now = loop.nowMillis();
        List<EngineGrant> given =
                switch (simulation.contender().power) {
                    case LEARNED -> {
                        power.observe(known, now);
                        yield power.grants(now);
                    }
                    case FIXED -> givenGrants.allocate(known, limitAt(0), now);
                    case KNOWN -> givenGrants.allocate(known, Math.min(limitAt(now), limitAt(now + 6_000)), now);
                };
        grants = given.stream().collect(Collectors.toMap(EngineGrant::upstreamId, grant -> grant));
    }

    private int limitAt(long atMillis) {
        return Math.min(simulation.deployment().engines, simulation.scenario().powerLimit(atMillis));
    }

    /** Plans role changes; every second. */
    void tickRoles() {
        Demand demand = demand();
        switch (simulation.contender().roles) {
            case PLANNED -> planner.plan(known(), demand, loop.nowMillis()).forEach(this::move);
            case FIXED -> {}
            case KNOWN -> movesOfInformed().forEach(this::move);
        }
    }

    private Demand demand() {
        List<Demand> parts =
                simulation.entries().stream().map(SimEntry::takeDemand).toList();
        List<EngineMeter.PromptCount> counts =
                simulation.engines().map(FakeEngine::takePromptCount).toList();
        long tokens = counts.stream().mapToLong(EngineMeter.PromptCount::tokens).sum();
        long uncached =
                counts.stream().mapToLong(EngineMeter.PromptCount::uncached).sum();
        if (tokens > 0) {
            uncachedShare += 0.1 * (uncached / (double) tokens - uncachedShare);
        }
        // Sums of one second, in tokens per millisecond.
        double prompt =
                parts.stream().mapToDouble(Demand::promptTokensPerSecond).sum() * 1_000;
        double output =
                parts.stream().mapToDouble(Demand::outputTokensPerSecond).sum() * 1_000;
        return new Demand(prompt * uncachedShare, output);
    }

    private Stream<RoleChange> movesOfInformed() {
        List<Phase> phases = simulation.scenario().phases();
        Phase ahead = simulation.scenario().phaseAt(loop.now() + LOOKAHEAD_MILLIS);
        int next = phases.indexOf(ahead) + 1;
        long until = next < phases.size() ? phases.get(next).fromMillis() : Scenario.END_MILLIS;
        if (until - ahead.fromMillis() < SUSTAINED_MILLIS || moving.size() >= INFORMED_MOVES_AT_ONCE) {
            return Stream.empty();
        }
        RoleCounts target = simulation.bestSplit(ahead);
        Map<EngineRole, List<EngineObservation>> byRole =
                known().stream().collect(Collectors.groupingBy(EngineObservation::role));
        Optional<EngineRole> from = Stream.of(EngineRole.values())
                .filter(role -> byRole.getOrDefault(role, List.of()).size() > target.of(role))
                .findFirst();
        Optional<EngineRole> to = Stream.of(EngineRole.values())
                .filter(role -> byRole.getOrDefault(role, List.of()).size() < target.of(role))
                .findFirst();
        if (from.isEmpty() || to.isEmpty()) {
            return Stream.empty();
        }
        return byRole.getOrDefault(from.get(), List.of()).stream()
                .filter(EngineObservation::inService)
                .limit(1)
                .map(engine -> new RoleChange(engine.upstreamId(), from.get(), to.get()));
    }

    private void move(RoleChange move) {
        roleChanges++;
        moving.put(move.upstreamId(), move.to());
        simulation.engine(move.upstreamId()).changeRole(move.to(), () -> moving.remove(move.upstreamId()));
    }

    /** Returns the newest reports, corrected by the orders under way, which the leader knows without delay. */
    private List<EngineObservation> known() {
        return observations.values().stream().map(this::withOrder).toList();
    }

    private EngineObservation withOrder(EngineObservation seen) {
        boolean changing = moving.containsKey(seen.upstreamId());
        EngineRole role = changing ? moving.getOrDefault(seen.upstreamId(), seen.role()) : roleOf(seen);
        return new EngineObservation(
                seen.upstreamId(),
                role,
                seen.reachable(),
                changing,
                seen.running(),
                seen.queued(),
                seen.promptTokensPerSecond(),
                seen.outputTokensPerSecond(),
                seen.batchSize(),
                seen.tokenIntervalMillis(),
                seen.aboveSoftLimit(),
                seen.measuredAtMillis());
    }

    private EngineRole roleOf(EngineObservation seen) {
        return simulation.engine(seen.upstreamId()).role;
    }

    /** Returns the upstreams as the fleet view shows them to entries. */
    List<RoutableUpstream> fleetView() {
        Set<String> silent = new HashSet<>();
        observations.values().stream()
                .filter(observation -> !observation.reachable())
                .forEach(observation -> silent.add(observation.upstreamId()));
        Stream<RoutableUpstream> engines = simulation
                .engines()
                .filter(engine -> !moving.containsKey(engine.id) && !silent.contains(engine.id))
                .map(this::routable);
        Stream<RoutableUpstream> services = simulation
                .services()
                .map(service -> new RoutableUpstream(
                        service.id, "service", service.domain, EngineRole.MIXED, FakeService.MAX_IN_FLIGHT));
        return Stream.concat(engines, services).toList();
    }

    private RoutableUpstream routable(FakeEngine engine) {
        int limit = CostModel.batchLimit(engine.role, grants.containsKey(engine.id)) + SPARE_REQUESTS;
        return new RoutableUpstream(engine.id, "engine", engine.domain, engine.role, limit);
    }
}
