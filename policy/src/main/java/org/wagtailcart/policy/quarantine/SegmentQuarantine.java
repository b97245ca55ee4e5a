package org.wagtailcart.policy.quarantine;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Decides which prompt segment, or which single request, makes upstreams crash, and quarantines it. The cause is present
 * at each of several crashes, and no request with it completes in between. A single request is a segment that no other
 * request shares, known by its {@link RequestKey}. Does no I/O; not thread safe.
 */
public final class SegmentQuarantine {
    private static final long FIRST_QUARANTINE_MILLIS = 600_000;
    private static final long MAX_QUARANTINE_MILLIS = 86_400_000;
    /** Factor by which each quarantine of a segment is longer than the one before. */
    private static final long QUARANTINE_GROWTH = 4;
    /** Time after which a crash is no longer evidence. */
    private static final long EVIDENCE_MILLIS = 600_000;

    private static final int MAX_SUSPECTS = 2_048;
    private static final int MAX_QUARANTINED = 256;
    private static final int MAX_COMPLETED = 8_192;
    /** Limit on the crashes with a known cause; late reports of such a crash are no evidence against other segments. */
    private static final int MAX_EXPLAINED = 64;

    private final Map<String, CrashEvidence> evidence = boundedMap(MAX_SUSPECTS);
    private final Map<String, Long> completedAtMillis = boundedMap(MAX_COMPLETED);
    private final Map<String, QuarantinedSegment> quarantined = boundedMap(MAX_QUARANTINED);
    private final Deque<CrashEvidence.Occurrence> explained = new ArrayDeque<>();

    /**
     * Records a crash, and quarantines the segment that is its most likely cause if there is enough evidence.
     *
     * @return the segment that is quarantined from now on, empty if there is none
     */
    public Optional<QuarantinedSegment> recordCrash(EngineCrash crash, long nowMillis) {
        forgetOldEvidence(nowMillis);
        CrashEvidence.Occurrence occurrence = new CrashEvidence.Occurrence(crash.engineId(), crash.atMillis());
        if (explained.stream().anyMatch(occurrence::isSameAs)) {
            return Optional.empty();
        }
        boolean hasKnownCause = crash.prompts().stream()
                .flatMap(List::stream)
                .anyMatch(segmentId -> isQuarantined(segmentId, nowMillis));
        if (hasKnownCause) {
            explain(occurrence);
            return Optional.empty();
        }
        crash.prompts().forEach(prompt -> IntStream.range(0, prompt.size())
                .forEach(depth -> addEvidence(prompt.get(depth), depth, occurrence)));
        return evidence.entrySet().stream()
                .filter(entry ->
                        standing(entry.getKey()).convicts(entry.getValue().timesMillis()))
                .max(Map.Entry.comparingByValue(
                        Comparator.comparingInt(CrashEvidence::count).thenComparingInt(CrashEvidence::depth)))
                .map(entry -> convict(entry.getKey(), entry.getValue(), nowMillis));
    }

    private void addEvidence(String segmentId, int depth, CrashEvidence.Occurrence occurrence) {
        if (occurrence.atMillis() > completedAtMillis.getOrDefault(segmentId, Long.MIN_VALUE)) {
            evidence.computeIfAbsent(segmentId, id -> new CrashEvidence(depth)).add(occurrence);
        }
    }

    private SegmentStanding standing(String segmentId) {
        if (quarantined.containsKey(segmentId)) {
            return SegmentStanding.OFFENDER;
        }
        if (RequestKey.isRequestKey(segmentId)) {
            return SegmentStanding.SINGLE_REQUEST;
        }
        return completedAtMillis.containsKey(segmentId) ? SegmentStanding.PROVEN : SegmentStanding.UNPROVEN;
    }

    private QuarantinedSegment convict(String segmentId, CrashEvidence cause, long nowMillis) {
        if (RequestKey.isRequestKey(segmentId)) {
            explainByRequest(segmentId, cause);
        } else {
            cause.crashes().forEach(this::explain);
        }
        QuarantinedSegment before = quarantined.get(segmentId);
        int offences = before == null ? 1 : before.offences() + 1;
        QuarantinedSegment added = new QuarantinedSegment(segmentId, nowMillis + quarantineMillis(offences), offences);
        quarantined.put(segmentId, added);
        return added;
    }

    private void explain(CrashEvidence.Occurrence crash) {
        addExplained(crash);
        removeEvidence(crash);
    }

    /**
     * Explains crashes by a single request. The cause may still be a segment of it, so the segments keep all but one of
     * the crashes: the next crash under another request with the same segment, and no completed request before,
     * quarantines the segment.
     */
    private void explainByRequest(String requestKey, CrashEvidence cause) {
        evidence.remove(requestKey);
        cause.crashes().forEach(this::addExplained);
        removeEvidence(cause.crashes().get(0));
    }

    private void addExplained(CrashEvidence.Occurrence crash) {
        explained.add(crash);
        if (explained.size() > MAX_EXPLAINED) {
            explained.removeFirst();
        }
    }

    private void removeEvidence(CrashEvidence.Occurrence crash) {
        evidence.values().forEach(other -> other.remove(crash));
        evidence.values().removeIf(CrashEvidence::isEmpty);
    }

    private static long quarantineMillis(int offences) {
        long millis = FIRST_QUARANTINE_MILLIS;
        for (int i = 1; i < offences && millis < MAX_QUARANTINE_MILLIS; i++) {
            millis *= QUARANTINE_GROWTH;
        }
        return Math.min(millis, MAX_QUARANTINE_MILLIS);
    }

    private void forgetOldEvidence(long nowMillis) {
        evidence.values().forEach(crashes -> crashes.removeUntil(nowMillis - EVIDENCE_MILLIS));
        evidence.values().removeIf(CrashEvidence::isEmpty);
    }

    /** Records that a request with the segment completed, which clears it of the crashes before. */
    public void recordCompletion(String segmentId, long atMillis) {
        if (!RequestKey.isRequestKey(segmentId)) {
            // Keys of single requests would displace the segments that are worth remembering.
            completedAtMillis.merge(segmentId, atMillis, Math::max);
        }
        CrashEvidence crashes = evidence.get(segmentId);
        if (crashes != null) {
            crashes.removeUntil(atMillis);
            if (crashes.isEmpty()) {
                evidence.remove(segmentId);
            }
        }
        QuarantinedSegment entry = quarantined.get(segmentId);
        if (entry != null && entry.untilMillis() < atMillis) {
            quarantined.remove(segmentId);
        }
    }

    /** Returns when a request with the segment completed last, empty if none is known. */
    public Optional<Long> lastCompletionMillis(String segmentId) {
        return Optional.ofNullable(completedAtMillis.get(segmentId));
    }

    /** Adds a segment that another process quarantined; returns whether this extends the quarantine known here. */
    public boolean merge(QuarantinedSegment other, long nowMillis) {
        QuarantinedSegment own = quarantined.get(other.segmentId());
        long untilMillis = Math.min(other.untilMillis(), nowMillis + MAX_QUARANTINE_MILLIS);
        if (untilMillis <= nowMillis || (own != null && own.offences() >= other.offences())) {
            return false;
        }
        quarantined.put(other.segmentId(), new QuarantinedSegment(other.segmentId(), untilMillis, other.offences()));
        evidence.remove(other.segmentId());
        return true;
    }

    /** Returns the first quarantined segment among those of a prompt. */
    public Optional<QuarantinedSegment> findQuarantined(Collection<String> segmentIds, long nowMillis) {
        return segmentIds.stream()
                .filter(segmentId -> isQuarantined(segmentId, nowMillis))
                .findFirst()
                .map(quarantined::get);
    }

    private boolean isQuarantined(String segmentId, long nowMillis) {
        QuarantinedSegment entry = quarantined.get(segmentId);
        return entry != null && entry.untilMillis() > nowMillis;
    }

    /** Returns the segments in quarantine. */
    public List<QuarantinedSegment> quarantined(long nowMillis) {
        return quarantined.values().stream()
                .filter(entry -> entry.untilMillis() > nowMillis)
                .toList();
    }

    /** Returns the segments with crashes since their last completed request, the latest first. */
    public List<String> suspects(int limit) {
        return evidence.entrySet().stream()
                .filter(entry -> !RequestKey.isRequestKey(entry.getKey()))
                .sorted(Comparator.comparingLong(entry -> -entry.getValue().lastMillis()))
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a map that drops its least recently used entry when it is full. */
    private static <V> Map<String, V> boundedMap(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
