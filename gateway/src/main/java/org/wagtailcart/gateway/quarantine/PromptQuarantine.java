package org.wagtailcart.gateway.quarantine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.EngineCrashReport;
import org.wagtailcart.control.client.QuarantineState;
import org.wagtailcart.control.client.QuarantineUpdate;
import org.wagtailcart.control.client.SegmentCompletion;
import org.wagtailcart.control.client.SegmentQuarantineEntry;
import org.wagtailcart.policy.quarantine.EngineCrash;
import org.wagtailcart.policy.quarantine.QuarantinedSegment;
import org.wagtailcart.policy.quarantine.SegmentQuarantine;

/**
 * Prompt segments whose requests this gateway refuses. It decides from the crashes that it observes itself, and shares
 * crashes, completed requests and quarantines with the other gateways through the control group, so that it also works
 * while that is unreachable. Thread safe; no method blocks on I/O.
 */
public final class PromptQuarantine {
    private static final Logger LOG = System.getLogger(PromptQuarantine.class.getName());
    /** Limit on the crashes and on the completions that wait for a poll; a longer outage drops the rest. */
    private static final int MAX_PENDING = 256;

    private final MillisClock clock;
    private final SegmentQuarantine quarantine = new SegmentQuarantine();
    /** Suspects of the control group without a completed request since they were received. */
    private final Set<String> awaitedCompletions = new HashSet<>();

    private final List<EngineCrash> pendingCrashes = new ArrayList<>();
    private final Map<String, Long> pendingCompletions = new LinkedHashMap<>();
    private long crashes;

    /** Creates an empty quarantine. */
    public PromptQuarantine(MillisClock clock) {
        this.clock = clock;
    }

    /** Returns the time for which a prompt with the given segments is refused, empty if it is accepted. */
    public synchronized OptionalLong refusedForMillis(Collection<String> segmentIds) {
        long nowMillis = clock.nowMillis();
        Optional<QuarantinedSegment> found = quarantine.findQuarantined(segmentIds, nowMillis);
        return found.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(found.get().untilMillis() - nowMillis);
    }

    /** Records a completed request. */
    public synchronized void recordCompletion(Collection<String> segmentIds) {
        long nowMillis = clock.nowMillis();
        segmentIds.forEach(segmentId -> {
            quarantine.recordCompletion(segmentId, nowMillis);
            if (awaitedCompletions.remove(segmentId)) {
                addPendingCompletion(segmentId, nowMillis);
            }
        });
    }

    private void addKnownCompletion(String segmentId) {
        quarantine.lastCompletionMillis(segmentId).ifPresent(atMillis -> addPendingCompletion(segmentId, atMillis));
    }

    private void addPendingCompletion(String segmentId, long atMillis) {
        if (pendingCompletions.size() < MAX_PENDING) {
            pendingCompletions.put(segmentId, atMillis);
        }
    }

    /** Records the crash of an engine under requests with the given segments. */
    void recordCrash(String engineId, List<List<String>> prompts, long atMillis) {
        EngineCrash crash = new EngineCrash(engineId, prompts, atMillis);
        Optional<QuarantinedSegment> convicted;
        synchronized (this) {
            crashes++;
            if (pendingCrashes.size() < MAX_PENDING) {
                pendingCrashes.add(crash);
                prompts.stream().flatMap(List::stream).forEach(this::addKnownCompletion);
            }
            convicted = quarantine.recordCrash(crash, clock.nowMillis());
        }
        convicted.ifPresent(segment -> log(segment, "own observation"));
    }

    /**
     * Removes and returns what the control group has not received yet.
     *
     * @param withQuarantined whether to include the segments in quarantine, for a member that may not know them
     */
    public synchronized QuarantineUpdate drainUpdate(boolean withQuarantined) {
        long nowMillis = clock.nowMillis();
        QuarantineUpdate update = new QuarantineUpdate(
                pendingCrashes.stream().map(crash -> report(crash, nowMillis)).toList(),
                pendingCompletions.entrySet().stream()
                        .map(entry -> new SegmentCompletion(entry.getKey(), nowMillis - entry.getValue()))
                        .toList(),
                withQuarantined ? entries(nowMillis) : List.of());
        pendingCrashes.clear();
        pendingCompletions.clear();
        return update;
    }

    private static EngineCrashReport report(EngineCrash crash, long nowMillis) {
        return new EngineCrashReport(
                crash.engineId(),
                crash.prompts().stream()
                        .map(EngineCrashReport.PromptSegments::new)
                        .toList(),
                nowMillis - crash.atMillis());
    }

    private List<SegmentQuarantineEntry> entries(long nowMillis) {
        return quarantine.quarantined(nowMillis).stream()
                .map(segment -> new SegmentQuarantineEntry(
                        segment.segmentId(), segment.untilMillis() - nowMillis, segment.offences()))
                .toList();
    }

    /** Puts an update back that no control member received. */
    public synchronized void restore(QuarantineUpdate update, long drainedAtMillis) {
        update.crashes().stream()
                .limit(MAX_PENDING - Math.min(MAX_PENDING, pendingCrashes.size()))
                .map(report -> new EngineCrash(
                        report.engineId(),
                        report.prompts().stream()
                                .map(EngineCrashReport.PromptSegments::segmentIds)
                                .toList(),
                        drainedAtMillis - report.ageMillis()))
                .forEach(pendingCrashes::add);
        update.completions()
                .forEach(completion ->
                        addPendingCompletion(completion.segmentId(), drainedAtMillis - completion.ageMillis()));
    }

    /** Applies the state of the control group. */
    public void apply(QuarantineState state, long receivedAtMillis) {
        List<QuarantinedSegment> added;
        synchronized (this) {
            state.suspects().forEach(this::addKnownCompletion);
            awaitedCompletions.clear();
            awaitedCompletions.addAll(state.suspects());
            added = state.quarantined().stream()
                    .map(entry -> new QuarantinedSegment(
                            entry.segmentId(), receivedAtMillis + entry.remainingMillis(), entry.offences()))
                    .filter(segment -> quarantine.merge(segment, receivedAtMillis))
                    .toList();
        }
        added.forEach(segment -> log(segment, "control group"));
    }

    private void log(QuarantinedSegment segment, String source) {
        LogEventKind.SEGMENT_QUARANTINED.log(
                LOG,
                Level.WARNING,
                segment.segmentId(),
                segment.offences(),
                segment.untilMillis() - clock.nowMillis(),
                source);
    }

    /** Returns the segments in quarantine. */
    public synchronized List<SegmentQuarantineEntry> entries() {
        return entries(clock.nowMillis());
    }

    /** Returns the number of crashes that this gateway observed. */
    public synchronized long crashes() {
        return crashes;
    }
}
