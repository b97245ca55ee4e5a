package org.wagtailcart.sidecar.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.sidecar.message.AttemptStatus.State;

/**
 * Bounded in-memory ledger of the non-idempotent attempts of one epoch and their outcomes. An attempt is claimed at
 * most once, and is reported as not run only after the ledger has recorded that it will not be sent. Not thread-safe.
 */
public final class AttemptLedger {
    /** A recorded attempt; the response is null unless the state is DONE. */
    private record Entry(String attemptId, long number, State state, @Nullable RecordedResponse response) {
        int sizeBytes() {
            return response == null ? 0 : response.body().length;
        }
    }

    private final long epoch;
    private final int capacity;
    private final long capacityBytes;
    private final Map<String, Entry> entries = new HashMap<>();
    private final TreeMap<Long, String> finishedByNumber = new TreeMap<>();
    private long floor;
    private long sizeBytes;

    /**
     * Creates an empty ledger. The floor starts at the epoch: a reservation refers to an existing epoch, so its log
     * index is higher.
     *
     * @param epoch epoch of this process
     * @param capacity number of finished attempts kept
     * @param capacityBytes total bytes of response bodies kept
     */
    public AttemptLedger(long epoch, int capacity, long capacityBytes) {
        this.epoch = epoch;
        this.capacity = capacity;
        this.capacityBytes = capacityBytes;
        this.floor = epoch;
    }

    /**
     * Claims an attempt for sending. The caller must then call exactly one of {@link #recordResponse},
     * {@link #recordNotSent} and {@link #recordUnknown}.
     *
     * @throws WagtailcartException if the attempt must not be sent; its run state is NOT_RUN only if the attempt was
     *     recorded as not sent before
     */
    public void claim(String attemptId, long number, long attemptEpoch) {
        if (attemptEpoch != epoch) {
            throw new WagtailcartException(
                    ResultCode.EPOCH_SUPERSEDED,
                    RunState.MAY_HAVE_RUN,
                    "attempt " + attemptId + " is of epoch " + attemptEpoch + ", this sidecar has epoch " + epoch);
        }
        Entry existing = entries.get(attemptId);
        if (existing != null) {
            throw duplicateError(existing);
        }
        if (number <= floor) {
            throw new WagtailcartException(
                    ResultCode.ATTEMPT_SUPERSEDED,
                    RunState.MAY_HAVE_RUN,
                    "attempt " + attemptId + " with number " + number + " is not above the ledger floor " + floor);
        }
        entries.put(attemptId, new Entry(attemptId, number, State.RUNNING, null));
    }

    /** Records the response to a claimed attempt. */
    public void recordResponse(String attemptId, RecordedResponse response) {
        finish(attemptId, State.DONE, response);
    }

    /** Records that a claimed attempt was not sent. The caller must ensure that no byte of it left this process. */
    public void recordNotSent(String attemptId) {
        finish(attemptId, State.NOT_SENT, null);
    }

    /** Records that a claimed attempt was or may have been sent and has no response. */
    public void recordUnknown(String attemptId) {
        finish(attemptId, State.UNKNOWN, null);
    }

    /**
     * Returns the status of an attempt. An attempt above the floor that is not in the ledger was never received; it is
     * recorded as not sent, so that a later request for it is rejected.
     */
    public AttemptStatus query(String attemptId, long number, long attemptEpoch) {
        if (attemptEpoch != epoch) {
            return new AttemptStatus(State.UNKNOWN, null);
        }
        Entry existing = entries.get(attemptId);
        if (existing != null) {
            return new AttemptStatus(existing.state(), existing.response());
        }
        if (number <= floor) {
            return new AttemptStatus(State.UNKNOWN, null);
        }
        entries.put(attemptId, new Entry(attemptId, number, State.RUNNING, null));
        finish(attemptId, State.NOT_SENT, null);
        return new AttemptStatus(State.NOT_SENT, null);
    }

    /** Returns the number of recorded attempts. */
    public int size() {
        return entries.size();
    }

    /** Returns the highest attempt number at which an attempt that is not in the ledger may have run. */
    public long floor() {
        return floor;
    }

    private void finish(String attemptId, State state, @Nullable RecordedResponse response) {
        Entry claimed = entries.get(attemptId);
        if (claimed == null || claimed.state() != State.RUNNING) {
            throw new IllegalStateException("attempt " + attemptId + " is not claimed or already finished");
        }
        Entry next = new Entry(attemptId, claimed.number(), state, response);
        entries.put(attemptId, next);
        sizeBytes += next.sizeBytes();
        // Numbers are log indices and thus unique; a duplicate number only evicts the earlier attempt sooner.
        Optional.ofNullable(finishedByNumber.put(claimed.number(), attemptId)).ifPresent(this::removeEntry);
        evict();
    }

    private void evict() {
        while (finishedByNumber.size() > capacity || (sizeBytes > capacityBytes && !finishedByNumber.isEmpty())) {
            Map.Entry<Long, String> oldest = finishedByNumber.pollFirstEntry();
            floor = Math.max(floor, oldest.getKey());
            removeEntry(oldest.getValue());
        }
    }

    private void removeEntry(String attemptId) {
        Entry removed = entries.remove(attemptId);
        if (removed != null) {
            floor = Math.max(floor, removed.number());
            sizeBytes -= removed.sizeBytes();
        }
    }

    private static WagtailcartException duplicateError(Entry existing) {
        String text = "attempt " + existing.attemptId() + " was received before and is " + existing.state();
        return switch (existing.state()) {
            case NOT_SENT -> new WagtailcartException(ResultCode.ATTEMPT_SUPERSEDED, RunState.NOT_RUN, text);
            case DONE -> new WagtailcartException(ResultCode.KEY_IN_PROGRESS, RunState.RAN, text);
            case RUNNING, UNKNOWN -> new WagtailcartException(ResultCode.KEY_IN_PROGRESS, RunState.MAY_HAVE_RUN, text);
        };
    }
}
