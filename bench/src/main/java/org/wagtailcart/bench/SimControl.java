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

/** Simulated control leader: collects delayed load reports, allocates power grants and plans role changes. */
final class SimControl {
    /** Time before a shift of the mix at which the informed policy starts role changes. */
    private static final long LOOKAHEAD_MILLIS = 15_000;

    /** The informed policy makes no role changes for phases shorter than this. */
    private static final long SUSTAINED_MILLIS = 60_000;

    private static final int INFORMED_MAX_ROLE_CHANGES_IN_PROGRESS = 2;
    /** Requests beyond the batch limit that entries may queue at an engine, which keeps its batch full. */
    private static final int ENGINE_QUEUE_LIMIT = 4;

    private final Simulation simulation;
    private final EventLoop loop;
    private final Map<String, EngineObservation> observations = new TreeMap<>();
    private final Map<String, EngineRole> roleChangesInProgress = new HashMap<>();
    private final PowerController power = new PowerController(PowerOptions.defaults());
    private final GrantAllocator fixedLimitAllocator =
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

    /** Records a report unless a newer one of the same engine has arrived. */
    void onReport(EngineObservation observation) {
        EngineObservation latest = observations.get(observation.upstreamId());
        if (latest == null || latest.measuredAtMillis() < observation.measuredAtMillis()) {
            observations.put(observation.upstreamId(), observation);
        }
    }

    Optional<EngineGrant> grantOf(String upstreamId) {
        return Optional.ofNullable(grants.get(upstreamId));
    }

    /** Allocates power grants; called every 0.5 s. */
    void tickPower() {
        List<EngineObservation> engines = currentObservations();
        long now = loop.nowMillis();
        List<EngineGrant> allocated =
                switch (simulation.contender().power) {
                    case LEARNED -> {
                        power.observe(engines, now);
                        yield power.grants(now);
                    }
                    case FIXED -> fixedLimitAllocator.allocate(engines, limitAt(0), now);
                    case KNOWN ->
                        fixedLimitAllocator.allocate(engines, Math.min(limitAt(now), limitAt(now + 6_000)), now);
                };
        grants = allocated.stream().collect(Collectors.toMap(EngineGrant::upstreamId, grant -> grant));
    }

    private int limitAt(long atMillis) {
        return Math.min(simulation.deployment().engines, simulation.scenario().powerLimit(atMillis));
    }

    /** Starts the role changes of the contender's policy; called every second. */
    void tickRoles() {
        Demand demand = demand();
        switch (simulation.contender().roles) {
            case PLANNED ->
                planner.plan(currentObservations(), demand, loop.nowMillis()).forEach(this::startRoleChange);
            case FIXED -> {}
            case KNOWN -> informedRoleChanges().forEach(this::startRoleChange);
        }
    }

    private Demand demand() {
        List<Demand> parts =
                simulation.entries().stream().map(SimEntry::getAndResetDemand).toList();
        List<EngineMeter.PromptCount> counts =
                simulation.engines().map(SimEngine::getAndResetPromptCount).toList();
        long tokens = counts.stream().mapToLong(EngineMeter.PromptCount::tokens).sum();
        long uncached =
                counts.stream().mapToLong(EngineMeter.PromptCount::uncached).sum();
        if (tokens > 0) {
            uncachedShare += 0.1 * (uncached / (double) tokens - uncachedShare);
        }
        // Each entry returns its sum over 1 s in tokens per millisecond.
        double prompt =
                parts.stream().mapToDouble(Demand::promptTokensPerSecond).sum() * 1_000;
        double output =
                parts.stream().mapToDouble(Demand::outputTokensPerSecond).sum() * 1_000;
        return new Demand(prompt * uncachedShare, output);
    }

    private Stream<RoleChange> informedRoleChanges() {
        List<Phase> phases = simulation.scenario().phases();
        Phase ahead = simulation.scenario().phaseAt(loop.now() + LOOKAHEAD_MILLIS);
        int next = phases.indexOf(ahead) + 1;
        long until = next < phases.size() ? phases.get(next).fromMillis() : Scenario.END_MILLIS;
        if (until - ahead.fromMillis() < SUSTAINED_MILLIS
                || roleChangesInProgress.size() >= INFORMED_MAX_ROLE_CHANGES_IN_PROGRESS) {
            return Stream.empty();
        }
        RoleCounts target = simulation.bestSplit(ahead);
        Map<EngineRole, List<EngineObservation>> byRole =
                currentObservations().stream().collect(Collectors.groupingBy(EngineObservation::role));
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

    private void startRoleChange(RoleChange move) {
        roleChanges++;
        roleChangesInProgress.put(move.upstreamId(), move.to());
        simulation
                .engine(move.upstreamId())
                .changeRole(move.to(), () -> roleChangesInProgress.remove(move.upstreamId()));
    }

    /** Returns the latest report of each engine, with the role changes that the leader itself has in progress. */
    private List<EngineObservation> currentObservations() {
        return observations.values().stream().map(this::withRoleChange).toList();
    }

    private EngineObservation withRoleChange(EngineObservation observation) {
        boolean changing = roleChangesInProgress.containsKey(observation.upstreamId());
        EngineRole role = changing
                ? roleChangesInProgress.getOrDefault(observation.upstreamId(), observation.role())
                : roleOf(observation);
        return new EngineObservation(
                observation.upstreamId(),
                role,
                observation.reachable(),
                changing,
                observation.running(),
                observation.queued(),
                observation.promptTokensPerSecond(),
                observation.outputTokensPerSecond(),
                observation.batchSize(),
                observation.tokenIntervalMillis(),
                observation.aboveSoftLimit(),
                observation.measuredAtMillis());
    }

    private EngineRole roleOf(EngineObservation observation) {
        return simulation.engine(observation.upstreamId()).role;
    }

    /** Returns the upstreams that entries may route to: all services, and the reachable engines without a role change. */
    List<RoutableUpstream> routableUpstreams() {
        Set<String> unreachable = new HashSet<>();
        observations.values().stream()
                .filter(observation -> !observation.reachable())
                .forEach(observation -> unreachable.add(observation.upstreamId()));
        Stream<RoutableUpstream> engines = simulation
                .engines()
                .filter(engine -> !roleChangesInProgress.containsKey(engine.id) && !unreachable.contains(engine.id))
                .map(this::routable);
        Stream<RoutableUpstream> services = simulation
                .services()
                .map(service -> new RoutableUpstream(
                        service.id, "service", service.domain, EngineRole.MIXED, SimService.MAX_IN_FLIGHT));
        return Stream.concat(engines, services).toList();
    }

    private RoutableUpstream routable(SimEngine engine) {
        int limit = CostModel.batchLimit(engine.role, grants.containsKey(engine.id)) + ENGINE_QUEUE_LIMIT;
        return new RoutableUpstream(engine.id, "engine", engine.domain, engine.role, limit);
    }
}
