package org.wagtailcart.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.control.client.PowerGrant;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.fleet.SetLifecycle;
import org.wagtailcart.fleet.UpstreamView;

/** Periodic tasks of the leader: marks drained upstreams, runs the fleet planner and keeps the power grants. */
final class LeaderTasks {
    private static final Logger LOG = System.getLogger(LeaderTasks.class.getName());

    private final CommandHandler commands;
    private final ControlState state;
    private final ProcessTracker processes;
    private final FleetPlanner planner;
    private final MillisClock clock;

    // Guarded by this.
    private final Map<String, Long> grantDeadlinesMillis = new HashMap<>();
    private boolean leading;
    private long leadingSinceMillis;

    LeaderTasks(
            CommandHandler commands,
            ControlState state,
            ProcessTracker processes,
            FleetPlanner planner,
            MillisClock clock) {
        this.commands = commands;
        this.state = state;
        this.processes = processes;
        this.planner = planner;
        this.clock = clock;
    }

    /** Runs the tasks when this member is the leader. Called once per planning interval on every member. */
    void run() {
        if (!updateLeadership()) {
            return;
        }
        PublishedState published = state.published();
        List<ObservedLoad> loads = processes.loads();
        proposeDrained(published, loads);
        FleetSnapshot observation = new FleetSnapshot(
                published.settings().current(), published.fleet().upstreams().values(), loads);
        long nowMillis = clock.nowMillis();
        planner.plan(observation, nowMillis).forEach(command -> propose((Record) command));
        storeGrants(planner.grants(observation, nowMillis), nowMillis);
    }

    /** Returns for how long this member has collected sync batches as the leader, 0 when it is not the leader. */
    synchronized long observationMillis() {
        return leading && commands.isLeader() ? clock.nowMillis() - leadingSinceMillis : 0;
    }

    /** Returns the unexpired grants, with their remaining validity, for the upstreams reported in the requests. */
    synchronized List<PowerGrant> grantsFor(Collection<SyncRequest> requests) {
        long nowMillis = clock.nowMillis();
        Set<String> upstreams = requests.stream()
                .flatMap(request -> request.reports().stream())
                .map(LoadReport::upstreamId)
                .collect(Collectors.toSet());
        return grantDeadlinesMillis.entrySet().stream()
                .filter(grant -> grant.getValue() > nowMillis && upstreams.contains(grant.getKey()))
                .map(grant -> new PowerGrant(grant.getKey(), grant.getValue() - nowMillis))
                .toList();
    }

    private synchronized boolean updateLeadership() {
        boolean isLeader = commands.isLeader();
        if (isLeader && !leading) {
            leadingSinceMillis = clock.nowMillis();
            processes.clear();
        }
        if (!isLeader) {
            grantDeadlinesMillis.clear();
        }
        leading = isLeader;
        return isLeader;
    }

    private synchronized void storeGrants(List<PowerGrant> grants, long nowMillis) {
        grantDeadlinesMillis.values().removeIf(deadline -> deadline <= nowMillis);
        grants.forEach(
                grant -> grantDeadlinesMillis.merge(grant.upstreamId(), nowMillis + grant.validMillis(), Math::max));
    }

    /**
     * Marks an upstream as drained when its sidecar has seen the draining state and reports nothing in flight or
     * queued.
     */
    private void proposeDrained(PublishedState published, List<ObservedLoad> loads) {
        loads.stream()
                .filter(load -> load.role().equals("sidecar"))
                .filter(load -> load.report().running() == 0 && load.report().queued() == 0)
                .forEach(load -> {
                    UpstreamView view =
                            published.fleet().upstreams().get(load.report().upstreamId());
                    if (view != null
                            && view.lifecycle() == Lifecycle.DRAINING
                            && view.sidecarId().equals(load.processId())
                            && load.fleetVersion() >= view.version()) {
                        propose(new SetLifecycle(
                                "drained-" + view.upstreamId() + "-" + view.version(),
                                "control",
                                view.upstreamId(),
                                Lifecycle.DRAINED,
                                ""));
                    }
                });
    }

    private void propose(Record command) {
        CompletableFuture<Object> unused = commands.propose(command).whenComplete((result, error) -> {
            if (error != null) {
                LOG.log(
                        Level.DEBUG,
                        LogEvent.of("planned-command-failed", "command", command, "reason", error.getMessage()));
            }
        });
    }
}
