package org.wagtailcart.gateway.list;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.policy.placement.EngineCandidate;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;
import org.wagtailcart.policy.placement.PromptPlacement;
import org.wagtailcart.policy.placement.ReplicaCandidate;
import org.wagtailcart.policy.placement.ReplicaPlacement;
import org.wagtailcart.routes.EngineSpec;
import org.wagtailcart.routes.ServiceSpec;

/** All upstreams as this gateway knows them. Safe for use by several threads; no method blocks. */
public final class UpstreamRegistry {
    private static final Logger LOG = System.getLogger(UpstreamRegistry.class.getName());
    /** Speed at which an engine in the prefill role reads prompts. */
    private static final double TOKENS_PER_MILLI = 50;
    /** Latency assumed of an upstream that has not answered yet. */
    private static final double FIRST_LATENCY_MILLIS = 20;
    /** A latency that was not renewed for longer says nothing any more. */
    private static final long LATENCY_KEEP_MILLIS = 5_000;
    /** Time in which the list shows what an upstream has become. */
    private static final long MISDIRECTED_MILLIS = 1_500;
    /** A request is late after this many times its usual duration. */
    private static final double LATE_FACTOR = 3;
    /** Time beyond that, for what the estimate cannot know. */
    private static final long LATE_MILLIS = 700;
    /** Time in which an engine that refused a request may find room. */
    private static final long FULL_MILLIS = 200;
    /** Part of an engine's memory that shared prompt parts may take; running requests need the rest. */
    private static final double SHARED_CACHE_FRACTION = 0.8;

    /** Bits in a millisecond at one megabit per second. */
    private static final double BITS_PER_MEGABIT_AND_MILLI = 1_000;

    /** Notes that wait for a control member; without one they are of little use. */
    private static final int MAX_PENDING_PREFIX_UPDATES = 1_000;

    private final Location place;
    private final MillisClock clock;
    private final Map<String, Upstream> upstreamsById = new HashMap<>();
    private List<PrefixCacheUpdate> pendingPrefixUpdates = new ArrayList<>();
    private Map<String, ServiceSpec> services = Map.of();
    private long listedAtMillis = Long.MIN_VALUE / 4;

    /** Creates an empty book of a gateway at a place. */
    public UpstreamRegistry(Location place, MillisClock clock) {
        this.place = place;
        this.clock = clock;
    }

    /**
     * Places of a request for generated text.
     *
     * @param prefill engine that reads the prompt, empty when the other one does it
     * @param decode engine that generates
     * @param prefixSource engine from which the reader fetches the KV cache of shared parts, empty when it reads them
     * @param times estimated times
     * @param queuedTokens prompt tokens that wait at the engine that reads
     * @param prefillTokens tokens of the prompt that it does not hold, as far as is known
     */
    public record Placement(
            Optional<Upstream> prefill,
            Upstream decode,
            Optional<Upstream> prefixSource,
            PromptPlacement.TimeEstimate times,
            long queuedTokens,
            int prefillTokens) {}

    /** Takes the services of a routing table. */
    public synchronized void services(Collection<ServiceSpec> specs) {
        services = specs.stream().collect(Collectors.toMap(ServiceSpec::name, Function.identity()));
        upstreamsById.values().forEach(upstream -> upstream.memoryTokens(memoryTokens(upstream.listEntry())));
    }

    /** Takes a list that was read at a time; an older one than the one in force has no effect. */
    public synchronized void applyHostList(List<ListedUpstream> latest, long readAtMillis, String source) {
        if (readAtMillis < listedAtMillis) {
            return;
        }
        listedAtMillis = readAtMillis;
        Set<String> ids = latest.stream().map(ListedUpstream::instanceId).collect(Collectors.toSet());
        List<String> removed = upstreamsById.keySet().stream()
                .filter(id -> !ids.contains(id))
                .sorted()
                .toList();
        removed.forEach(upstreamsById::remove);
        List<String> added = new ArrayList<>();
        List<String> leaving = new ArrayList<>();
        latest.forEach(listed -> take(listed, added, leaving));
        if (!added.isEmpty() || !removed.isEmpty() || !leaving.isEmpty()) {
            LogEventKind.LIST_CHANGED.log(LOG, Level.INFO, source, upstreamsById.size(), leaving, added, removed);
        }
    }

    private void take(ListedUpstream listed, List<String> added, List<String> leaving) {
        Upstream known = upstreamsById.get(listed.instanceId());
        if (known == null) {
            upstreamsById.put(listed.instanceId(), create(listed));
            added.add(listed.instanceId());
        } else {
            if (listed.leaving() && !known.listEntry().leaving()) {
                leaving.add(listed.instanceId());
            }
            known.updateListEntry(listed);
        }
    }

    private Upstream create(ListedUpstream listed) {
        return new Upstream(listed, memoryTokens(listed), FIRST_LATENCY_MILLIS, clock.nowMillis());
    }

    private long memoryTokens(ListedUpstream listed) {
        ServiceSpec spec = services.get(listed.service());
        EngineSpec engine = spec == null ? null : spec.engine();
        return engine == null ? 0 : (long) (SHARED_CACHE_FRACTION * engine.kvCacheTokens());
    }

    /** Notes that the list in force was confirmed without a change. */
    public synchronized void confirmHostList(long readAtMillis) {
        listedAtMillis = Math.max(listedAtMillis, readAtMillis);
    }

    /** Returns the age of the list in force. */
    public synchronized long listAgeMillis() {
        return clock.nowMillis() - listedAtMillis;
    }

    /** Returns whether any list was read. */
    public synchronized boolean hasHostList() {
        return !upstreamsById.isEmpty();
    }

    /** Takes what the other gateways have in flight. */
    public synchronized void updateOtherGatewaysWork(List<OutstandingWork> work) {
        Map<String, OutstandingWork> byId =
                work.stream().collect(Collectors.toMap(OutstandingWork::instanceId, Function.identity()));
        upstreamsById.forEach(
                (id, upstream) -> upstream.othersWork(byId.getOrDefault(id, new OutstandingWork(id, 0, 0))));
    }

    /** Returns what this gateway has in flight. */
    public synchronized List<OutstandingWork> ownWork() {
        return upstreamsById.values().stream()
                .map(Upstream::ownWork)
                .filter(work -> work.requests() > 0)
                .toList();
    }

    /** Returns the requests in flight at an upstream, of all gateways. */
    public synchronized int inFlight(Upstream upstream) {
        return upstream.inFlight();
    }

    /** Returns the usual time of an answer of an upstream. */
    public synchronized double meanLatencyMillis(Upstream upstream) {
        return upstream.latencyMillis();
    }

    /** Returns whether a service has engines that read prompts for others or generate. */
    public synchronized boolean hasEngines(String service) {
        ServiceSpec spec = services.get(service);
        return spec != null && spec.engine() != null;
    }

    /** Starts to use the best replica of a plain service; empty when none is left. */
    public synchronized Optional<InFlightRequest> startReplicaRequest(String service, Set<String> excluded) {
        long nowMillis = clock.nowMillis();
        List<Upstream> usable = candidates(service, excluded, nowMillis);
        double meanMillis =
                usable.stream().mapToDouble(Upstream::latencyMillis).average().orElse(FIRST_LATENCY_MILLIS);
        return ReplicaPlacement.choose(
                        usable.stream()
                                .map(upstream -> new ReplicaCandidate(
                                        upstream.id(),
                                        upstream.listEntry().failureDomain(),
                                        Math.max(1, upstream.listEntry().maxInFlight()),
                                        upstream.inFlight(),
                                        currentLatency(upstream, meanMillis, nowMillis)))
                                .toList(),
                        place.failureDomain())
                .map(view -> startRequest(requireUpstream(view.id()), InFlightRequest.Work.NO_PROMPT, List.of()));
    }

    /** Returns whether a replica of a service is left. */
    public synchronized boolean hasReplica(String service, Set<String> excluded) {
        return !candidates(service, excluded, clock.nowMillis()).isEmpty();
    }

    /** Places a request for generated text; empty when no engine can generate. */
    public synchronized Optional<Placement> place(String service, Prompt prompt, Set<String> excluded) {
        long nowMillis = clock.nowMillis();
        List<EngineCandidate> views = candidates(service, excluded, nowMillis).stream()
                .map(upstream -> view(upstream, prompt.segments(), nowMillis))
                .toList();
        List<PrefixCacheEstimate.Segment> shared = prompt.sharedSegments();
        String affinity = shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
        int sharedTokens =
                shared.stream().mapToInt(PrefixCacheEstimate.Segment::tokens).sum();
        PromptPlacement.PromptSize size = new PromptPlacement.PromptSize(prompt.promptTokens(), sharedTokens, affinity);
        return PromptPlacement.choose(views, size, speeds(service), place).map(choice -> {
            EngineCandidate reader = choice.prefill() == null ? choice.decode() : choice.prefill();
            return new Placement(
                    Optional.ofNullable(choice.prefill()).map(view -> requireUpstream(view.id())),
                    requireUpstream(choice.decode().id()),
                    Optional.ofNullable(choice.prefixSource()).map(view -> requireUpstream(view.id())),
                    choice.times(),
                    reader.queuedTokens(),
                    choice.prefillTokens());
        });
    }

    /**
     * Starts to use an engine that reads a prompt.
     *
     * @param unreadTokens tokens that it still has to read
     * @param readMillis estimated time until they are read
     */
    public synchronized InFlightRequest startPrefill(
            Upstream engine, Prompt prompt, int unreadTokens, double readMillis) {
        addPrefixUpdate(engine, prompt.sharedSegments());
        return startRequest(engine, new InFlightRequest.Work(unreadTokens, readMillis, null), prompt.segments());
    }

    /** Starts to use an engine that generates from the KV cache of another one. */
    public synchronized InFlightRequest startDecode(Upstream engine, Upstream reader) {
        return startRequest(engine, new InFlightRequest.Work(0, 0, reader), List.of());
    }

    private void addPrefixUpdate(Upstream engine, List<PrefixCacheEstimate.Segment> shared) {
        int tokens =
                shared.stream().mapToInt(PrefixCacheEstimate.Segment::tokens).sum();
        if (engine.cachedTokens(shared) < tokens && pendingPrefixUpdates.size() < MAX_PENDING_PREFIX_UPDATES) {
            pendingPrefixUpdates.add(new PrefixCacheUpdate(
                    engine.id(),
                    shared.stream().map(PrefixCacheEstimate.Segment::id).toList(),
                    shared.stream().map(PrefixCacheEstimate.Segment::tokens).toList()));
        }
    }

    /** Takes the notes for the other gateways. */
    public synchronized List<PrefixCacheUpdate> drainPrefixUpdates() {
        List<PrefixCacheUpdate> taken = pendingPrefixUpdates;
        pendingPrefixUpdates = new ArrayList<>();
        return taken;
    }

    /** Learns which prompt parts engines read for the other gateways. */
    public synchronized void applyPrefixUpdates(List<PrefixCacheUpdate> news) {
        news.forEach(note -> Optional.ofNullable(upstreamsById.get(note.instanceId()))
                .ifPresent(upstream -> upstream.recordRemotePrefill(IntStream.range(
                                0,
                                Math.min(
                                        note.segmentIds().size(),
                                        note.segmentTokenCounts().size()))
                        .mapToObj(i -> new PrefixCacheEstimate.Segment(
                                note.segmentIds().get(i),
                                note.segmentTokenCounts().get(i)))
                        .toList())));
    }

    /** Starts to use an upstream that has no prompt to read. */
    public synchronized InFlightRequest startRequest(Upstream upstream) {
        return startRequest(upstream, InFlightRequest.Work.NO_PROMPT, List.of());
    }

    /** Notes that an upstream is not what the list says; it gets nothing until the list is read anew. */
    public synchronized void markMisdirected(Upstream upstream) {
        upstream.backOffUntil(clock.nowMillis() + MISDIRECTED_MILLIS);
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    synchronized void recordResponse(Upstream upstream, long nowMillis) {
        upstream.recordResponse(nowMillis);
    }

    /** Returns whether requests wait at an upstream longer than they should while no other gets an answer. */
    public synchronized boolean isUnresponsive(Upstream upstream) {
        return upstream.isUnresponsive(clock.nowMillis());
    }

    /** Notes that an upstream has no room, or takes no requests for a while. */
    public synchronized void markFull(Upstream upstream) {
        upstream.backOffUntil(clock.nowMillis() + FULL_MILLIS);
    }

    synchronized void recordOutcome(Upstream upstream, UpstreamOutcome outcome, double millis, long nowMillis) {
        if (!upstream.recordOutcome(outcome, millis, nowMillis)) {
            return;
        }
        if (upstream.lost()) {
            long forMillis = upstream.lostUntilMillis(nowMillis) - nowMillis;
            LogEventKind.UPSTREAM_LOST.log(LOG, Level.WARNING, upstream.id(), upstream.address(), forMillis);
        } else {
            LogEventKind.UPSTREAM_REGAINED.log(LOG, Level.INFO, upstream.id(), upstream.address());
        }
    }

    private PromptPlacement.EngineRates speeds(String service) {
        ServiceSpec spec = services.get(service);
        EngineSpec engine = spec == null ? null : spec.engine();
        if (engine == null || engine.linkMegabitsPerSecond() <= 0 || engine.kvBytesPerToken() <= 0) {
            return new PromptPlacement.EngineRates(TOKENS_PER_MILLI, Double.MIN_VALUE);
        }
        double fetched =
                engine.linkMegabitsPerSecond() * BITS_PER_MEGABIT_AND_MILLI / (engine.kvBytesPerToken() * Byte.SIZE);
        return new PromptPlacement.EngineRates(TOKENS_PER_MILLI, fetched);
    }

    private Upstream requireUpstream(String id) {
        return Objects.requireNonNull(upstreamsById.get(id));
    }

    private InFlightRequest startRequest(
            Upstream upstream, InFlightRequest.Work work, List<PrefixCacheEstimate.Segment> parts) {
        long nowMillis = clock.nowMillis();
        double usualMillis = work.prefillTokens() == 0
                ? upstream.latencyMillis()
                : (upstream.queuedTokens() + work.prefillTokens()) / TOKENS_PER_MILLI;
        long dueMillis = nowMillis + Math.round(LATE_FACTOR * usualMillis) + LATE_MILLIS;
        InFlightRequest use = new InFlightRequest(this, upstream, work, nowMillis, dueMillis);
        upstream.started(use, work.prefillTokens(), parts);
        return use;
    }

    /** Upstreams of a service that may get a request; those that failed lately only when no other is left. */
    private List<Upstream> candidates(String service, Set<String> excluded, long nowMillis) {
        boolean engines = hasEngines(service);
        List<Upstream> present = upstreamsById.values().stream()
                .filter(upstream -> upstream.listEntry().service().equals(service))
                .filter(upstream -> !upstream.listEntry().leaving())
                .filter(upstream -> !engines || upstream.listEntry().role() != null)
                .filter(upstream -> !excluded.contains(upstream.id()))
                .toList();
        List<Upstream> healthy = present.stream()
                .filter(upstream -> upstream.isAvailable(nowMillis))
                .toList();
        return healthy.isEmpty() ? present : healthy;
    }

    private static EngineCandidate view(Upstream upstream, List<PrefixCacheEstimate.Segment> parts, long nowMillis) {
        return new EngineCandidate(
                upstream.id(),
                upstream.listEntry().failureDomain(),
                upstream.listEntry().role() == EngineRole.PREFILL,
                Math.max(1, upstream.listEntry().maxInFlight()),
                upstream.inFlight(),
                upstream.queuedTokens(),
                upstream.cachedTokens(parts),
                upstream.slowdown(nowMillis),
                upstream.startDelayMillis(nowMillis));
    }

    private static double currentLatency(Upstream upstream, double meanMillis, long nowMillis) {
        boolean outdated = nowMillis - upstream.latencyAtMillis() > LATENCY_KEEP_MILLIS;
        return outdated ? Math.min(meanMillis, upstream.latencyMillis()) : upstream.latencyMillis();
    }
}
