package org.wagtailcart.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Counts that gateways reported to this member. For each process, incarnation, window and workspace the highest count is
 * kept, so that repeated and reordered batches change nothing. Thread safe.
 */
public final class UsageLedger {
    /**
     * A gateway without a poll for this long has stopped. It polls every 250 ms, and a lost poll takes 700 ms; several may
     * be lost in a row. A gateway that ended delays the close of a window for no longer than this.
     */
    static final long ACTIVE_MILLIS = 4_000;
    /** Limit on the windows of one incarnation, against a process whose clock estimate is wrong. */
    private static final int MAX_WINDOWS = 32;
    /** After this time the counts of a process are of no use, because its windows are closed. */
    private static final long RETENTION_MILLIS = 60_000;

    private record Incarnation(String processId, long number) {}

    /** What is known about the polls of a process. */
    private record PollState(long incarnation, long sequence, long completeUntilMillis, long polledAtMillis) {}

    private final Map<Incarnation, TreeMap<Long, Map<String, Long>>> countsByIncarnation = new HashMap<>();
    private final Map<Incarnation, Long> lastBatchAtMillis = new HashMap<>();
    private final Map<String, PollState> pollStateByProcess = new HashMap<>();
    private long droppedThrough = Long.MIN_VALUE;
    private OptionalLong lastPollAtMillis = OptionalLong.empty();
    private long contactSinceMillis;

    /** Records a poll without a batch, of a gateway that has no estimate of true time yet. */
    public synchronized void recordPoll(String processId, long nowMillis) {
        recordContact(nowMillis);
        pollStateByProcess.compute(
                processId,
                (id, before) -> before == null
                        ? new PollState(0, 0, Long.MIN_VALUE, nowMillis)
                        : new PollState(
                                before.incarnation(), before.sequence(), before.completeUntilMillis(), nowMillis));
    }

    private void recordContact(long nowMillis) {
        if (contactSinceMillis(nowMillis).isEmpty()) {
            contactSinceMillis = nowMillis;
        }
        lastPollAtMillis = OptionalLong.of(nowMillis);
    }

    /** Records a batch. */
    public synchronized void record(String processId, UsageBatch batch, long nowMillis) {
        recordContact(nowMillis);
        recordPollState(processId, batch, nowMillis);
        Incarnation incarnation = new Incarnation(processId, batch.incarnation());
        lastBatchAtMillis.put(incarnation, nowMillis);
        TreeMap<Long, Map<String, Long>> counts =
                countsByIncarnation.computeIfAbsent(incarnation, key -> new TreeMap<>());
        batch.windows().stream()
                .filter(window -> window.window() > droppedThrough)
                .forEach(window -> mergeMax(
                        counts.computeIfAbsent(window.window(), number -> new HashMap<>()), window.countByWorkspace()));
        while (counts.size() > MAX_WINDOWS) {
            counts.pollFirstEntry();
        }
    }

    private static void mergeMax(Map<String, Long> counts, Map<String, Long> reported) {
        reported.forEach((workspace, count) -> counts.merge(workspace, count, Math::max));
    }

    /** Only a batch that continues what this member has makes the counts of the process complete. */
    private void recordPollState(String processId, UsageBatch batch, long nowMillis) {
        PollState latest = pollStateByProcess.get(processId);
        PollState before = latest != null && latest.incarnation() == batch.incarnation()
                ? latest
                : new PollState(batch.incarnation(), 0, Long.MIN_VALUE, nowMillis);
        long known = before.sequence();
        long complete = before.completeUntilMillis();
        boolean continues = batch.afterSequence() <= known;
        pollStateByProcess.put(
                processId,
                new PollState(
                        batch.incarnation(),
                        continues ? Math.max(known, batch.sequence()) : known,
                        continues ? Math.max(complete, batch.completeUntilMillis()) : complete,
                        nowMillis));
    }

    /** Returns the number of the last batch up to which this member has all counts of a process, 0 for none. */
    public synchronized long acknowledged(String processId) {
        PollState pollState = pollStateByProcess.get(processId);
        return pollState == null ? 0 : pollState.sequence();
    }

    /**
     * Returns the true time until which the counts of all gateways that poll are complete, {@link Long#MIN_VALUE} if none
     * polls or the counts of one are unknown.
     */
    public synchronized long completeUntilMillis(long nowMillis) {
        return pollStateByProcess.values().stream()
                .filter(pollState -> nowMillis - pollState.polledAtMillis() < ACTIVE_MILLIS)
                .mapToLong(PollState::completeUntilMillis)
                .min()
                .orElse(Long.MIN_VALUE);
    }

    /** Returns the time since which at least one gateway polls this member without a gap, empty while none does. */
    public synchronized OptionalLong contactSinceMillis(long nowMillis) {
        return lastPollAtMillis.stream()
                .filter(atMillis -> nowMillis - atMillis < ACTIVE_MILLIS)
                .map(atMillis -> contactSinceMillis)
                .findFirst();
    }

    /** Returns the number of gateways that poll this member. */
    public synchronized long activeGateways(long nowMillis) {
        return pollStateByProcess.values().stream()
                .filter(pollState -> nowMillis - pollState.polledAtMillis() < ACTIVE_MILLIS)
                .count();
    }

    /** Returns the sum of all gateways for each workspace in a window. */
    public synchronized Map<String, Long> totals(long window) {
        Map<String, Long> totals = new HashMap<>();
        countsByIncarnation.values().forEach(counts -> counts.getOrDefault(window, Map.of())
                .forEach((workspace, count) -> totals.merge(workspace, count, Long::sum)));
        return totals;
    }

    /** Returns the oldest window with a count. */
    public synchronized OptionalLong earliestWindow() {
        return countsByIncarnation.values().stream()
                .filter(counts -> !counts.isEmpty())
                .mapToLong(TreeMap::firstKey)
                .min();
    }

    /** Removes the counts of windows that no longer matter and of processes that ended. */
    public synchronized void drop(long throughWindow, long nowMillis) {
        if (throughWindow + 1 < droppedThrough) {
            restartFrom(throughWindow);
        }
        droppedThrough = Math.max(droppedThrough, throughWindow);
        countsByIncarnation.values().forEach(counts -> counts.headMap(throughWindow, true)
                .clear());
        lastBatchAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > RETENTION_MILLIS);
        countsByIncarnation.keySet().retainAll(lastBatchAtMillis.keySet());
        pollStateByProcess.values().removeIf(pollState -> nowMillis - pollState.polledAtMillis() > RETENTION_MILLIS);
    }

    /**
     * Accepts counts of windows that were dropped for an estimate of true time that has been corrected since. Without an
     * acknowledgement gateways send all their counts again. Errors of a few ms at the end of a window change nothing.
     */
    private void restartFrom(long throughWindow) {
        droppedThrough = throughWindow;
        pollStateByProcess.replaceAll((processId, pollState) ->
                new PollState(pollState.incarnation(), 0, Long.MIN_VALUE, pollState.polledAtMillis()));
    }
}
