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

/** What only the leader does: marks drained upstreams, runs the planner and keeps the power grants. */
final class LeaderDuties {
    private static final Logger LOG = System.getLogger(LeaderDuties.class.getName());

    private final Commands commands;
    private final ControlState state;
    private final LoadBook book;
    private final FleetPlanner planner;
    private final MillisClock clock;

    // Guarded by this.
    private final Map<String, Long> grantDeadlinesMillis = new HashMap<>();
    private boolean leading;
    private long leadingSinceMillis;

    LeaderDuties(Commands commands, ControlState state, LoadBook book, FleetPlanner planner, MillisClock clock) {
        this.commands = commands;
        this.state = state;
        this.book = book;
        this.planner = planner;
        this.clock = clock;
    }

    /** Runs once per planning interval on every member. */
    void run() {
        if (!checkLeading()) {
            return;
        }
        PublishedState published = state.published();
        List<ObservedLoad> loads = book.loads();
        markDrained(published, loads);
        FleetObservation observation = new FleetObservation(
                published.settings().current(), published.fleet().upstreams().values(), loads);
        long nowMillis = clock.nowMillis();
        planner.plan(observation, nowMillis).forEach(command -> propose((Record) command));
        keepGrants(planner.grants(observation, nowMillis), nowMillis);
    }

    /** Returns how long this member has collected digests as the leader, 0 when it is not the leader. */
    synchronized long observedMillis() {
        return leading && commands.isLeader() ? clock.nowMillis() - leadingSinceMillis : 0;
    }

    /** Returns what is left of the grants for the upstreams in some requests. */
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

    private synchronized boolean checkLeading() {
        boolean now = commands.isLeader();
        if (now && !leading) {
            leadingSinceMillis = clock.nowMillis();
            book.clear();
        }
        if (!now) {
            grantDeadlinesMillis.clear();
        }
        leading = now;
        return now;
    }

    private synchronized void keepGrants(List<PowerGrant> grants, long nowMillis) {
        grantDeadlinesMillis.values().removeIf(deadline -> deadline <= nowMillis);
        grants.forEach(
                grant -> grantDeadlinesMillis.merge(grant.upstreamId(), nowMillis + grant.validMillis(), Math::max));
    }

    /** An upstream is drained when its sidecar knew of the draining and still reports nothing in flight. */
    private void markDrained(PublishedState published, List<ObservedLoad> loads) {
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
