package org.wagtailcart.control.watch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.placement.PrefillRateEstimate;

/**
 * Prefill rates of engines, merged from the samples of all gateways. Each gateway is sent the rates that changed since
 * the version that it has. Not thread safe.
 */
final class EngineRateLog {
    /** Relative change from which a rate is sent again; smaller ones do not change a placement. */
    static final double MIN_CHANGE = 0.05;

    /** Limit on the rates in a reply, at most 12 KB; a gateway gets the others with its next polls. */
    static final int MAX_RATES_PER_REPLY = 400;

    /** Time after which an engine without an update is forgotten; the gateways keep its rate while it is listed. */
    static final long RETENTION_MILLIS = 600_000;

    /** Time after which a gateway without a poll is forgotten. */
    static final long PROCESS_RETENTION_MILLIS = 10_000;

    private final Map<String, Entry> entriesById = new HashMap<>();
    private final Map<String, Reported> reportedByProcess = new HashMap<>();
    private long version;
    private long prunedAtMillis;

    private static final class Entry {
        private final PrefillRateEstimate estimate = new PrefillRateEstimate();
        private EngineRate published;
        private long publishedVersion;
        private long recordedAtMillis;

        Entry(String engineId) {
            published = new EngineRate(engineId, 0, 0);
        }
    }

    private record Reported(long version, long atMillis) {}

    /**
     * Rates for one gateway.
     *
     * @param rates changed rates
     * @param version version that the gateway has with them
     */
    record Page(List<EngineRate> rates, long version) {}

    /** Records the updates of a gateway and the version of the rates that it has. */
    void record(String processId, List<EngineRate> updates, long processVersion, long nowMillis) {
        prune(nowMillis);
        reportedByProcess.put(processId, new Reported(processVersion, nowMillis));
        updates.forEach(rate -> record(rate, nowMillis));
    }

    private void record(EngineRate update, long nowMillis) {
        Entry entry = entriesById.computeIfAbsent(update.instanceId(), Entry::new);
        entry.recordedAtMillis = nowMillis;
        if (update.samples() > 0) {
            entry.estimate.record(update.tokensPerMilli(), update.samples(), nowMillis);
        } else if (entry.estimate.tokensPerMilli(nowMillis).isEmpty()) {
            entry.estimate.recordKnown(update.tokensPerMilli());
        }
        OptionalDouble rate = entry.estimate.tokensPerMilli(nowMillis);
        if (rate.isPresent()
                && Math.abs(rate.getAsDouble() - entry.published.tokensPerMilli())
                        > MIN_CHANGE * entry.published.tokensPerMilli()) {
            entry.published =
                    new EngineRate(update.instanceId(), rate.getAsDouble(), entry.estimate.samples(nowMillis));
            entry.publishedVersion = ++version;
        }
    }

    /** Returns the rates that a gateway does not have yet, according to its last report. */
    Page pageFor(String processId) {
        Reported reported = reportedByProcess.get(processId);
        if (reported == null) {
            return new Page(List.of(), 0);
        }
        // A version from before a restart of this member may be higher than any of its own.
        long known = reported.version() > version ? 0 : reported.version();
        List<Entry> changed = entriesById.values().stream()
                .filter(entry -> entry.publishedVersion > known)
                .sorted(Comparator.comparingLong(entry -> entry.publishedVersion))
                .limit(MAX_RATES_PER_REPLY)
                .toList();
        long pageVersion =
                changed.size() < MAX_RATES_PER_REPLY ? version : changed.get(changed.size() - 1).publishedVersion;
        return new Page(changed.stream().map(entry -> entry.published).toList(), pageVersion);
    }

    /** Returns the merged rates, ordered by engine. */
    List<EngineRate> rates() {
        return entriesById.values().stream()
                .map(entry -> entry.published)
                .filter(rate -> rate.tokensPerMilli() > 0)
                .sorted(Comparator.comparing(EngineRate::instanceId))
                .toList();
    }

    private void prune(long nowMillis) {
        if (nowMillis - prunedAtMillis < PROCESS_RETENTION_MILLIS) {
            return;
        }
        prunedAtMillis = nowMillis;
        entriesById.values().removeIf(entry -> nowMillis - entry.recordedAtMillis > RETENTION_MILLIS);
        reportedByProcess.values().removeIf(reported -> nowMillis - reported.atMillis() > PROCESS_RETENTION_MILLIS);
    }
}
