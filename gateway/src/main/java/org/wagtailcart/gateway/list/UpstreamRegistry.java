package org.wagtailcart.gateway.list;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.gateway.protocol.UpstreamAnnouncement;
import org.wagtailcart.policy.placement.EngineCandidate;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.placement.FleetRates;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;
import org.wagtailcart.policy.placement.PromptPlacement;
import org.wagtailcart.policy.placement.ReplicaCandidate;
import org.wagtailcart.policy.placement.ReplicaPlacement;
import org.wagtailcart.policy.share.RequestCost;
import org.wagtailcart.policy.share.ShareRequest;
import org.wagtailcart.routes.EngineSpec;
import org.wagtailcart.routes.ServiceSpec;

/**
 * Registry of the upstreams in the host list, with their health, their load and the placement of requests on them.
 * Thread safe; no method blocks on I/O.
 */
public final class UpstreamRegistry {
    private static final Logger LOG = System.getLogger(UpstreamRegistry.class.getName());
    /** Assumed latency of an upstream without a response so far. */
    private static final double INITIAL_LATENCY_MILLIS = 20;
    /** Maximum age of a latency sample; an older one no longer reflects the current load. */
    private static final long LATENCY_MAX_AGE_MILLIS = 5_000;
    /** Backoff of an upstream that is not the listed instance; the host list shows the change within this time. */
    private static final long MISDIRECTED_BACKOFF_MILLIS = 1_500;
    /** Backoff of an engine that refused a request; its load may have dropped after this time. */
    private static final long FULL_BACKOFF_MILLIS = 200;
    /** Fraction of an engine's KV cache available to shared prompt segments; running requests need the rest. */
    private static final double SHARED_CACHE_FRACTION = 0.8;

    /** Bits transferred per millisecond at 1 Mbit/s. */
    private static final double BITS_PER_MEGABIT_AND_MILLI = 1_000;

    /** Limit on the prefix cache updates queued for a control member; without one they are of little use. */
    private static final int MAX_PENDING_PREFIX_UPDATES = 1_000;

    private final Location place;
    private final MillisClock clock;
    private final Map<String, Upstream> upstreamsById = new HashMap<>();
    private final LearnedEngineRates learnedRates = new LearnedEngineRates();
    private final ServiceRates serviceRates = new ServiceRates(learnedRates);
    private List<PrefixCacheUpdate> pendingPrefixUpdates = new ArrayList<>();
    private Map<String, ServiceSpec> services = Map.of();
    private long listedAtMillis = Long.MIN_VALUE / 4;

    /** Creates an empty registry for a gateway at the given location. */
    public UpstreamRegistry(Location location, MillisClock clock) {
        this.place = location;
        this.clock = clock;
    }

    /**
     * Placement of an inference request on engines.
     *
     * @param prefill engine that runs the prefill, empty if the decode engine runs it
     * @param decode engine that decodes
     * @param prefixSource engine from which the KV cache of shared segments is fetched, empty for none
     * @param times estimated durations
     * @param queuedTokens prompt tokens queued at the engine that runs the prefill
     * @param prefillTokens prompt tokens that are not in its KV cache, according to the estimate
     */
    public record Placement(
            Optional<Upstream> prefill,
            Upstream decode,
            Optional<Upstream> prefixSource,
            PromptPlacement.TimeEstimate times,
            long queuedTokens,
            int prefillTokens) {
        Placement withDecode(Upstream engine) {
            return new Placement(prefill, engine, prefixSource, times, queuedTokens, prefillTokens);
        }
    }

    /** Replaces the service definitions by those of a routing table. */
    public synchronized void services(Collection<ServiceSpec> specs) {
        services = specs.stream().collect(Collectors.toMap(ServiceSpec::name, Function.identity()));
        upstreamsById.values().forEach(upstream -> upstream.cacheCapacityTokens(memoryTokens(upstream.listEntry())));
    }

    /** Applies a host list that was read at the given time; has no effect if a newer one is in force. */
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
        learnedRates.retain(ids);
        List<String> added = new ArrayList<>();
        List<String> leaving = new ArrayList<>();
        latest.forEach(listed -> updateListing(listed, added, leaving));
        if (!added.isEmpty() || !removed.isEmpty() || !leaving.isEmpty()) {
            LogEventKind.LIST_CHANGED.log(LOG, Level.INFO, source, upstreamsById.size(), leaving, added, removed);
        }
    }

    private void updateListing(ListedUpstream listed, List<String> added, List<String> leaving) {
        Upstream existing = upstreamsById.get(listed.instanceId());
        if (existing == null) {
            upstreamsById.put(listed.instanceId(), create(listed));
            added.add(listed.instanceId());
        } else {
            if (listed.leaving() && !existing.listEntry().leaving()) {
                leaving.add(listed.instanceId());
            }
            existing.updateListEntry(listed);
        }
    }

    private Upstream create(ListedUpstream listed) {
        return new Upstream(listed, memoryTokens(listed), INITIAL_LATENCY_MILLIS, clock.nowMillis());
    }

    private long memoryTokens(ListedUpstream listed) {
        ServiceSpec spec = services.get(listed.service());
        EngineSpec engine = spec == null ? null : spec.engine();
        return engine == null ? 0 : (long) (SHARED_CACHE_FRACTION * engine.kvCacheTokens());
    }

    /** Records that the host list in force was unchanged at the given time, which resets its age. */
    public synchronized void confirmHostList(long readAtMillis) {
        listedAtMillis = Math.max(listedAtMillis, readAtMillis);
    }

    /** Returns whether an upstream of a software version serves, or will do so again. */
    public synchronized boolean servesVersion(String service, String softwareVersion) {
        return upstreamsById.values().stream()
                .filter(upstream -> upstream.listEntry().service().equals(service) && !upstream.leaving())
                .anyMatch(upstream -> upstream.hasSoftwareVersion(softwareVersion));
    }

    /** Returns the age of the host list in force. */
    public synchronized long listAgeMillis() {
        return clock.nowMillis() - listedAtMillis;
    }

    /** Returns whether a host list with at least one upstream was received. */
    public synchronized boolean hasHostList() {
        return !upstreamsById.isEmpty();
    }

    /** Replaces the outstanding work of the other gateways. */
    public synchronized void updateOtherGatewaysWork(List<OutstandingWork> work) {
        Map<String, OutstandingWork> byId =
                work.stream().collect(Collectors.toMap(OutstandingWork::instanceId, Function.identity()));
        upstreamsById.forEach(
                (id, upstream) -> upstream.othersWork(byId.getOrDefault(id, new OutstandingWork(id, 0, 0))));
    }

    /** Returns the outstanding work of this gateway, without idle upstreams. */
    public synchronized List<OutstandingWork> ownWork() {
        return upstreamsById.values().stream()
                .map(Upstream::ownWork)
                .filter(work -> work.requests() > 0)
                .toList();
    }

    /** Returns the state of all upstreams, ordered by instance id. */
    public synchronized List<UpstreamState> states() {
        long nowMillis = clock.nowMillis();
        return upstreamsById.values().stream()
                .map(upstream -> upstream.state(
                        upstream.listEntry().role() == null
                                ? 0
                                : fleetRates(upstream.listEntry().service(), nowMillis)
                                        .learnedTokensPerMilli(upstream.id()),
                        learnedRates.ownSamples(upstream.id(), nowMillis),
                        nowMillis))
                .sorted(Comparator.comparing(UpstreamState::instanceId))
                .toList();
    }

    /** Returns the number of requests of all gateways that are in flight at an upstream. */
    public synchronized int inFlight(Upstream upstream) {
        return upstream.inFlight();
    }

    /** Returns the moving average of the response time of an upstream. */
    public synchronized double meanLatencyMillis(Upstream upstream) {
        return upstream.latencyMillis();
    }

    /**
     * Returns the estimated response time of a replica for a request that is counted as in flight there. Its recent
     * responses have waited in the same queue, so that their time includes the wait.
     */
    public synchronized ShareRequest.Estimate estimateWait(Upstream replica) {
        int slots = Math.max(1, replica.listEntry().maxInFlight());
        int waiting = Math.max(0, replica.inFlight() - slots);
        double totalMillis = replica.latencyMillis();
        return new ShareRequest.Estimate(waiting == 0 ? 0 : totalMillis * waiting / replica.inFlight(), totalMillis);
    }

    /** Returns the cost of a streamed request in engine time. */
    public synchronized double costOf(Placement placement, String service, @Nullable Prompt prompt) {
        ServiceSpec spec = services.get(service);
        EngineSpec engine = spec == null ? null : spec.engine();
        return engine == null || prompt == null
                ? RequestCost.PLAIN_CALL
                : RequestCost.ofStream(
                        placement.prefillTokens(),
                        engineRates(service).prefillTokensPerMilli(),
                        prompt.maxOutputTokens(),
                        engine.slots());
    }

    /** Returns whether a service runs on inference engines. */
    public synchronized boolean hasEngines(String service) {
        ServiceSpec spec = services.get(service);
        return spec != null && spec.engine() != null;
    }

    /** Starts a request at the best replica of a plain service; empty if no replica is available. */
    public synchronized Optional<InFlightRequest> startReplicaRequest(String service, UpstreamFilter filter) {
        long nowMillis = clock.nowMillis();
        List<Upstream> usable = candidates(service, filter, nowMillis);
        // The times of streams differ too much to recognize a slow phase by them.
        boolean engines = hasEngines(service);
        double meanMillis =
                usable.stream().mapToDouble(Upstream::latencyMillis).average().orElse(INITIAL_LATENCY_MILLIS);
        return ReplicaPlacement.choose(
                        usable.stream()
                                .map(upstream -> new ReplicaCandidate(
                                        upstream.id(),
                                        upstream.listEntry().failureDomain(),
                                        Math.max(1, upstream.listEntry().maxInFlight()),
                                        upstream.inFlight(),
                                        currentLatency(upstream, meanMillis, nowMillis),
                                        !engines && upstream.isSlow(nowMillis)))
                                .toList(),
                        place.failureDomain())
                .map(candidate ->
                        startRequest(requireUpstream(candidate.id()), InFlightRequest.Work.NO_PROMPT, List.of()));
    }

    /** Returns whether a service has a replica that a filter admits. */
    public synchronized boolean hasReplica(String service, UpstreamFilter filter) {
        return !candidates(service, filter, clock.nowMillis()).isEmpty();
    }

    /**
     * Selects the engines of an inference request; empty if no engine can decode. All of them are of one software version,
     * because a version cannot read the KV cache that another one has written.
     */
    public synchronized Optional<Placement> place(String service, Prompt prompt, UpstreamFilter filter) {
        long nowMillis = clock.nowMillis();
        Map<String, List<EngineCandidate>> byVersion = candidates(service, filter, nowMillis).stream()
                .collect(Collectors.groupingBy(
                        Upstream::softwareVersion,
                        TreeMap::new,
                        Collectors.mapping(
                                upstream -> toCandidate(upstream, prompt.segments(), nowMillis), Collectors.toList())));
        PromptPlacement.EngineRates rates = engineRates(service);
        PromptPlacement.PromptSize size = sizeOf(prompt);
        Stream<PromptPlacement.Choice> choices = byVersion.values().stream()
                .flatMap(engines -> PromptPlacement.choose(engines, size, rates, place).stream());
        return PromptPlacement.chooseAmongPools(choices, size, rates).map(this::toPlacement);
    }

    private static PromptPlacement.PromptSize sizeOf(Prompt prompt) {
        List<PrefixCacheEstimate.Segment> shared = prompt.sharedSegments();
        String affinity = shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
        int sharedTokens =
                shared.stream().mapToInt(PrefixCacheEstimate.Segment::tokens).sum();
        return new PromptPlacement.PromptSize(prompt.promptTokens(), sharedTokens, affinity);
    }

    private Placement toPlacement(PromptPlacement.Choice choice) {
        EngineCandidate prefillEngine = choice.prefill() == null ? choice.decode() : choice.prefill();
        return new Placement(
                Optional.ofNullable(choice.prefill()).map(candidate -> requireUpstream(candidate.id())),
                requireUpstream(choice.decode().id()),
                Optional.ofNullable(choice.prefixSource()).map(candidate -> requireUpstream(candidate.id())),
                choice.times(),
                prefillEngine.queuedTokens(),
                choice.prefillTokens());
    }

    /**
     * Returns a placement whose prefill is complete with an engine that can decode now. A prefill may take seconds, in
     * which the engine chosen before it may have started to leave, ended or changed its role; the KV cache can be
     * fetched by any other engine.
     */
    public synchronized Optional<Placement> placeDecode(Placement placement, String service, UpstreamFilter filter) {
        if (placement.prefill().isEmpty()) {
            return Optional.of(placement);
        }
        long nowMillis = clock.nowMillis();
        String prefillVersion = placement.prefill().get().softwareVersion();
        List<Upstream> decoders = candidates(service, filter, nowMillis).stream()
                .filter(upstream -> upstream.listEntry().role() != EngineRole.PREFILL)
                .filter(upstream -> upstream.softwareVersion().equals(prefillVersion))
                .toList();
        if (decoders.contains(placement.decode())) {
            return Optional.of(placement);
        }
        List<EngineCandidate> candidates = decoders.stream()
                .map(upstream -> toCandidate(upstream, List.of(), nowMillis))
                .toList();
        EngineCandidate prefill = toCandidate(placement.prefill().get(), List.of(), nowMillis);
        return PromptPlacement.chooseDecode(candidates, prefill, place)
                .map(candidate -> placement.withDecode(requireUpstream(candidate.id())));
    }

    /**
     * Starts a request at an engine that runs the prefill of a prompt.
     *
     * @param placement tokens that it has to prefill and the estimated times
     */
    public synchronized InFlightRequest startPrefill(Upstream engine, Prompt prompt, Placement placement) {
        addPrefixUpdate(engine, prompt.sharedSegments());
        InFlightRequest.Work work = new InFlightRequest.Work(
                placement.prefillTokens(),
                placement.times().prefillMillis(),
                engine.queuedTokens(),
                placement.times().fetchMillis(),
                prompt.promptTokens(),
                null);
        return startRequest(engine, work, prompt.segments());
    }

    /** Starts a request at an engine that decodes from the KV cache of another engine. */
    public synchronized InFlightRequest startDecode(Upstream engine, Upstream prefillEngine) {
        return startRequest(engine, new InFlightRequest.Work(0, 0, 0, 0, 0, prefillEngine), List.of());
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

    /** Removes and returns the queued prefix cache updates for the other gateways. */
    public synchronized List<PrefixCacheUpdate> drainPrefixUpdates() {
        List<PrefixCacheUpdate> drained = pendingPrefixUpdates;
        pendingPrefixUpdates = new ArrayList<>();
        return drained;
    }

    /** Records the prompt segments that engines prefilled for other gateways. */
    public synchronized void applyPrefixUpdates(List<PrefixCacheUpdate> updates) {
        updates.forEach(update -> Optional.ofNullable(upstreamsById.get(update.instanceId()))
                .ifPresent(upstream -> upstream.recordRemotePrefill(IntStream.range(
                                0,
                                Math.min(
                                        update.segmentIds().size(),
                                        update.segmentTokenCounts().size()))
                        .mapToObj(i -> new PrefixCacheEstimate.Segment(
                                update.segmentIds().get(i),
                                update.segmentTokenCounts().get(i)))
                        .toList())));
    }

    /** Starts a request without a prefill at an upstream. */
    public synchronized InFlightRequest startRequest(Upstream upstream) {
        return startRequest(upstream, InFlightRequest.Work.NO_PROMPT, List.of());
    }

    /** Takes an upstream that is not the listed instance out of service until the host list shows the change. */
    public synchronized void markMisdirected(Upstream upstream) {
        upstream.backOffUntil(clock.nowMillis() + MISDIRECTED_BACKOFF_MILLIS);
    }

    /**
     * Records what an upstream says about itself. It is remembered for the instance, until that leaves the host list.
     *
     * @param requestId id of the request that it responded to
     */
    public synchronized void recordAnnouncement(
            Upstream upstream, UpstreamAnnouncement announcement, String requestId) {
        boolean leavingIsNews = announcement.leaving() && upstream.announceLeaving();
        OptionalLong refusalMillis = announcement.refusalMillis();
        refusalMillis.ifPresent(millis -> upstream.refuseUntil(clock.nowMillis() + millis));
        if (leavingIsNews || announcement.retryAfter().isPresent()) {
            LogEventKind.UPSTREAM_ANNOUNCED.log(
                    LOG,
                    Level.INFO,
                    requestId,
                    upstream.id(),
                    upstream.leaving(),
                    announcement.retryAfter().orElse(""),
                    refusalMillis.orElse(-1));
        }
    }

    /**
     * Returns the time until the first replica of a service accepts requests again; empty if one accepts them now, or
     * none has said when it does.
     */
    public synchronized OptionalLong refusedForMillis(String service) {
        long nowMillis = clock.nowMillis();
        List<Upstream> staying = upstreamsById.values().stream()
                .filter(upstream -> upstream.listEntry().service().equals(service) && !upstream.leaving())
                .toList();
        return staying.stream().anyMatch(upstream -> upstream.acceptsRequests(nowMillis))
                ? OptionalLong.empty()
                : staying.stream()
                        .mapToLong(upstream -> upstream.refusesUntilMillis() - nowMillis)
                        .min();
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    synchronized void recordResponse(Upstream upstream, long nowMillis) {
        upstream.recordResponse(nowMillis);
    }

    /** Returns whether a request at an upstream is overdue and no response has arrived since it started. */
    public synchronized boolean isUnresponsive(Upstream upstream) {
        long nowMillis = clock.nowMillis();
        return upstream.isUnresponsive(tokensPerMilli(upstream, nowMillis), nowMillis);
    }

    /** Takes an upstream that is full, or refuses requests, out of service for a short time. */
    public synchronized void markFull(Upstream upstream) {
        upstream.backOffUntil(clock.nowMillis() + FULL_BACKOFF_MILLIS);
    }

    synchronized void recordOutcome(Upstream upstream, UpstreamOutcome outcome, double millis, long nowMillis) {
        if (!upstream.recordOutcome(outcome, millis, nowMillis)) {
            return;
        }
        if (upstream.ejected()) {
            long forMillis = upstream.ejectedUntilMillis(nowMillis) - nowMillis;
            LogEventKind.UPSTREAM_LOST.log(LOG, Level.WARNING, upstream.id(), upstream.address(), forMillis);
        } else {
            LogEventKind.UPSTREAM_REGAINED.log(LOG, Level.INFO, upstream.id(), upstream.address());
        }
    }

    private PromptPlacement.EngineRates engineRates(String service) {
        ServiceSpec spec = services.get(service);
        EngineSpec engine = spec == null ? null : spec.engine();
        double fetchTokensPerMilli = engine == null
                        || engine.linkMegabitsPerSecond() <= 0
                        || engine.kvBytesPerToken() <= 0
                ? Double.MIN_VALUE
                : engine.linkMegabitsPerSecond() * BITS_PER_MEGABIT_AND_MILLI / (engine.kvBytesPerToken() * Byte.SIZE);
        return new PromptPlacement.EngineRates(FleetRates.DEFAULT_TOKENS_PER_MILLI, fetchTokensPerMilli);
    }

    /** Returns the prompt tokens that an engine prefills in a millisecond, in its role. */
    private double tokensPerMilli(Upstream engine, long nowMillis) {
        double tokensPerMilli =
                fleetRates(engine.listEntry().service(), nowMillis).tokensPerMilli(engine.id());
        return engine.listEntry().role() == EngineRole.DECODE
                ? PromptPlacement.DECODE_PREFILL_SPEED_RATIO * tokensPerMilli
                : tokensPerMilli;
    }

    private FleetRates fleetRates(String service, long nowMillis) {
        return serviceRates.of(
                service,
                () -> upstreamsById.values().stream()
                        .filter(upstream -> upstream.listEntry().service().equals(service))
                        .map(Upstream::id),
                nowMillis);
    }

    void recordRate(Upstream engine, double tokensPerMilli, long nowMillis) {
        learnedRates.record(engine.id(), tokensPerMilli, nowMillis);
    }

    /** Removes and returns the updates of the rates of engines for the polled control member. */
    public synchronized List<EngineRate> drainEngineRates() {
        return learnedRates.drainUpdates(clock.nowMillis());
    }

    /** Returns the version of the rates in the last reply of the polled control member, 0 for none. */
    public synchronized long engineRatesVersion() {
        return learnedRates.version();
    }

    /** Applies the rates in the reply of a control member. */
    public synchronized void applyEngineRates(List<EngineRate> rates, long version) {
        learnedRates.apply(rates, version, clock.nowMillis());
    }

    /** Sends all known rates with the next poll, because another control member is polled or a poll failed. */
    public synchronized void controlMemberChanged() {
        learnedRates.memberChanged();
    }

    private Upstream requireUpstream(String id) {
        return Objects.requireNonNull(upstreamsById.get(id));
    }

    private InFlightRequest startRequest(
            Upstream upstream, InFlightRequest.Work work, List<PrefixCacheEstimate.Segment> segments) {
        long nowMillis = clock.nowMillis();
        InFlightRequest request = new InFlightRequest(this, upstream, work, nowMillis, upstream.latencyMillis());
        upstream.started(request, work.prefillTokens(), segments);
        return request;
    }

    /** Returns the upstreams that may receive a request of a service; unhealthy ones only if none is healthy. */
    private List<Upstream> candidates(String service, UpstreamFilter filter, long nowMillis) {
        boolean engines = hasEngines(service);
        List<Upstream> present = upstreamsById.values().stream()
                .filter(upstream -> upstream.listEntry().service().equals(service))
                .filter(upstream -> upstream.acceptsRequests(nowMillis))
                .filter(upstream -> !engines || upstream.listEntry().role() != null)
                .filter(filter::admits)
                .toList();
        List<Upstream> healthy = present.stream()
                .filter(upstream -> upstream.isAvailable(nowMillis))
                .toList();
        List<Upstream> usable = healthy.isEmpty() ? present : healthy;
        return filter.excludedIds().isEmpty() ? usable : withoutUnproven(usable);
    }

    /**
     * Returns the upstreams for a further attempt of a request: of each role, those that responded the last time, if there
     * are any. An ejection may end while its upstream is still down; such upstreams are tried by first attempts, as a
     * request that spent all its attempts on them would be refused beside upstreams that work.
     */
    private static List<Upstream> withoutUnproven(List<Upstream> usable) {
        Set<Optional<EngineRole>> provenRoles = usable.stream()
                .filter(upstream -> !upstream.lastContactFailed())
                .map(UpstreamRegistry::roleOf)
                .collect(Collectors.toSet());
        return usable.stream()
                .filter(upstream -> !upstream.lastContactFailed() || !provenRoles.contains(roleOf(upstream)))
                .toList();
    }

    private static Optional<EngineRole> roleOf(Upstream upstream) {
        return Optional.ofNullable(upstream.listEntry().role());
    }

    private EngineCandidate toCandidate(Upstream upstream, List<PrefixCacheEstimate.Segment> segments, long nowMillis) {
        return new EngineCandidate(
                upstream.id(),
                upstream.listEntry().failureDomain(),
                upstream.listEntry().role() == EngineRole.PREFILL,
                Math.max(1, upstream.listEntry().maxInFlight()),
                upstream.inFlight(),
                upstream.queuedTokens(),
                upstream.cachedTokens(segments),
                upstream.slowdown(nowMillis),
                upstream.startDelayMillis(nowMillis),
                speed(upstream, nowMillis));
    }

    private double speed(Upstream engine, long nowMillis) {
        FleetRates rates = fleetRates(engine.listEntry().service(), nowMillis);
        return engine.listEntry().role() == EngineRole.PREFILL
                ? rates.prefillSpeed(engine.id())
                : rates.speed(engine.id());
    }

    private static double currentLatency(Upstream upstream, double meanMillis, long nowMillis) {
        boolean outdated = nowMillis - upstream.latencyAtMillis() > LATENCY_MAX_AGE_MILLIS;
        return outdated ? Math.min(meanMillis, upstream.latencyMillis()) : upstream.latencyMillis();
    }
}
