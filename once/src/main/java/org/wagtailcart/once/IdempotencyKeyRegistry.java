package org.wagtailcart.once;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;

/**
 * Replicated registry of idempotency keys. All times are state machine time, so that every member expires the same keys
 * at the same command. Not thread safe; used by the control thread only.
 */
public final class IdempotencyKeyRegistry {
    /** Retention of a completed key and its recorded response. */
    public static final long COMPLETED_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    /** Retention of a key whose outcome is unknown. */
    public static final long UNKNOWN_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(7);

    /**
     * Time after which an in-flight key becomes UNKNOWN; time alone never frees it. No request takes longer than one
     * hour, so after a day no process remains that could complete it.
     */
    public static final long IN_FLIGHT_LIMIT_MILLIS = TimeUnit.HOURS.toMillis(24);

    /** Retention of the first result of a reservation, for resent commands; no client resends for longer. */
    public static final long RESULT_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

    /** Largest response body that is recorded; larger ones would fill the memory of every member. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    /** Bounds the memory of the stored results; the oldest one is removed first. */
    static final int MAX_RESULTS = 100_000;

    /** Limit of keys per state that one command expires. A command adds one key, so a backlog always shrinks. */
    static final int MAX_EXPIRED_PER_COMMAND = 16;

    private static final int SNAPSHOT_TYPE = 1;

    private final MessageCodec codec =
            new MessageCodec(List.of(List.of(new MessageType(SNAPSHOT_TYPE, KeySnapshot.class))));

    // Each state has a constant retention and time never decreases, so insertion order is the order of deadlines.
    private final Map<KeyId, StoredKey> inFlight = new LinkedHashMap<>();
    private final Map<KeyId, StoredKey> completed = new LinkedHashMap<>();
    private final Map<KeyId, StoredKey> unknown = new LinkedHashMap<>();
    private final Map<String, StoredResult> results = new LinkedHashMap<>();
    private long timeMillis;
    private long responseBytes;
    private long reservedCount;
    private long releasedCount;
    private long expiredCount;
    private long timedOutCount;

    /** Returns whether this registry applies a command. {@link LookupKey} is a query and not a command. */
    public static boolean handles(Object command) {
        return command instanceof ReserveKey
                || command instanceof CompleteKey
                || command instanceof ReleaseKey
                || command instanceof MarkKeyUnknown;
    }

    /**
     * Applies one committed command.
     *
     * @param index log index of the command
     * @param commandTimeMillis state machine time; one before the latest applied time counts as the latest
     * @throws IllegalArgumentException when the command is not one of this registry
     */
    public KeyResult apply(long index, long commandTimeMillis, Object command) {
        timeMillis = Math.max(timeMillis, commandTimeMillis);
        expireOverdue();
        if (command instanceof ReserveKey reserve) {
            return reserveOnce(index, reserve);
        }
        if (command instanceof CompleteKey complete) {
            return complete(complete);
        }
        if (command instanceof ReleaseKey release) {
            return release(release);
        }
        if (command instanceof MarkKeyUnknown mark) {
            return markUnknown(mark);
        }
        throw new IllegalArgumentException("command " + command.getClass() + " is not a key command");
    }

    /** Returns the state of a key at the latest state machine time, without changing the registry. */
    public KeyResult lookup(LookupKey query) {
        return find(query.keyId())
                .map(key -> key.fingerprint().equals(query.fingerprint())
                        ? key.result()
                        : key.resultWithState(KeyState.FINGERPRINT_MISMATCH, null))
                .orElseGet(IdempotencyKeyRegistry::free);
    }

    /** Returns the state machine time at which the next key times out or expires. */
    public OptionalLong nextExpiry() {
        return Stream.of(inFlight, completed, unknown)
                .flatMap(keys -> keys.values().stream().limit(1))
                .mapToLong(StoredKey::deadlineMillis)
                .min();
    }

    /** Returns the size and activity counters for the state dump. */
    public KeyCounters counters() {
        return new KeyCounters(
                inFlight.size(),
                completed.size(),
                unknown.size(),
                results.size(),
                responseBytes,
                reservedCount,
                releasedCount,
                expiredCount,
                timedOutCount);
    }

    /** Returns the full state in encoded form. */
    public byte[] snapshot() {
        return codec.encode(new KeySnapshot(
                timeMillis,
                List.copyOf(inFlight.values()),
                List.copyOf(completed.values()),
                List.copyOf(unknown.values()),
                List.copyOf(results.values())));
    }

    /**
     * Replaces the full state with that of a snapshot.
     *
     * @throws WagtailcartException with {@link ResultCode#SNAPSHOT_DAMAGED} when the bytes are not a registry snapshot
     */
    public void restore(byte[] snapshot) {
        KeySnapshot state = decode(snapshot);
        timeMillis = state.timeMillis();
        replace(inFlight, state.inFlight());
        replace(completed, state.completed());
        replace(unknown, state.unknown());
        results.clear();
        state.results().forEach(result -> results.put(result.attemptId(), result));
        responseBytes =
                completed.values().stream().mapToLong(StoredKey::responseBytes).sum();
    }

    /**
     * Reserves a key, or returns the first result again for a resent command. The results of the other commands are not
     * stored: those take effect only while their attempt holds the key, and several entries may send them for the same
     * attempt, each of which needs the current state.
     */
    private KeyResult reserveOnce(long index, ReserveKey command) {
        StoredResult earlier = results.get(command.attemptId());
        if (earlier != null && earlier.keyId().equals(command.keyId()) && earlier.deadlineMillis() > timeMillis) {
            return withResponse(command.keyId(), earlier.result());
        }
        KeyResult result = reserve(index, command);
        results.remove(command.attemptId());
        results.put(
                command.attemptId(),
                new StoredResult(
                        command.attemptId(),
                        command.keyId(),
                        withResponse(result, null),
                        timeMillis + RESULT_RETENTION_MILLIS));
        if (results.size() > MAX_RESULTS) {
            results.remove(results.keySet().iterator().next());
        }
        return result;
    }

    private KeyResult reserve(long index, ReserveKey command) {
        Optional<StoredKey> existing = find(command.keyId());
        if (existing.isPresent()) {
            return resultForExisting(existing.get(), command);
        }
        StoredKey key = StoredKey.reserved(command, index, timeMillis + IN_FLIGHT_LIMIT_MILLIS);
        put(key);
        reservedCount++;
        return key.resultWithState(KeyState.RESERVED, null);
    }

    private static KeyResult resultForExisting(StoredKey key, ReserveKey command) {
        if (!key.fingerprint().equals(command.fingerprint())) {
            return key.resultWithState(KeyState.FINGERPRINT_MISMATCH, null);
        }
        return key.attemptId().equals(command.attemptId())
                ? key.resultWithState(KeyState.RESERVED, null)
                : key.result();
    }

    private KeyResult complete(CompleteKey command) {
        findHeldBy(command.keyId(), command.attemptId())
                .ifPresent(key -> put(key.withState(
                        KeyState.COMPLETED,
                        timeMillis + COMPLETED_RETENTION_MILLIS,
                        withoutOversizedBody(command.response()))));
        return current(command.keyId());
    }

    private KeyResult release(ReleaseKey command) {
        findHeldBy(command.keyId(), command.attemptId()).ifPresent(key -> {
            remove(key.keyId());
            releasedCount++;
        });
        return current(command.keyId());
    }

    private KeyResult markUnknown(MarkKeyUnknown command) {
        findHeldBy(command.keyId(), command.attemptId())
                .ifPresent(key -> put(key.withState(KeyState.UNKNOWN, timeMillis + UNKNOWN_RETENTION_MILLIS, null)));
        return current(command.keyId());
    }

    private Optional<StoredKey> findHeldBy(KeyId keyId, String attemptId) {
        return find(keyId).filter(key -> key.state() == KeyState.IN_FLIGHT).filter(key -> key.attemptId()
                .equals(attemptId));
    }

    private KeyResult current(KeyId keyId) {
        return find(keyId).map(StoredKey::result).orElseGet(IdempotencyKeyRegistry::free);
    }

    /** Returns a key in its state at the latest time, even when the bounded expiry has not reached it yet. */
    private Optional<StoredKey> find(KeyId keyId) {
        return Stream.of(inFlight, completed, unknown)
                .map(keys -> keys.get(keyId))
                .filter(Objects::nonNull)
                .findFirst()
                .flatMap(this::atLatestTime);
    }

    private Optional<StoredKey> atLatestTime(StoredKey key) {
        if (key.deadlineMillis() > timeMillis) {
            return Optional.of(key);
        }
        return key.state() == KeyState.IN_FLIGHT ? Optional.of(timedOut(key)) : Optional.empty();
    }

    private StoredKey timedOut(StoredKey key) {
        return key.withState(KeyState.UNKNOWN, timeMillis + UNKNOWN_RETENTION_MILLIS, null);
    }

    private void expireOverdue() {
        Stream.of(inFlight, completed, unknown)
                .flatMap(keys -> firstOverdue(keys).stream())
                .forEach(this::expire);
        results.values().stream()
                .limit(MAX_EXPIRED_PER_COMMAND)
                .takeWhile(result -> result.deadlineMillis() <= timeMillis)
                .map(StoredResult::attemptId)
                .toList()
                .forEach(results::remove);
    }

    private List<StoredKey> firstOverdue(Map<KeyId, StoredKey> keys) {
        return keys.values().stream()
                .limit(MAX_EXPIRED_PER_COMMAND)
                .takeWhile(key -> key.deadlineMillis() <= timeMillis)
                .toList();
    }

    private void expire(StoredKey key) {
        Optional<StoredKey> present = atLatestTime(key);
        remove(key.keyId());
        present.ifPresentOrElse(
                next -> {
                    timedOutCount++;
                    put(next);
                },
                () -> expiredCount++);
    }

    /** Stores a key as the newest of its state. */
    private void put(StoredKey key) {
        remove(key.keyId());
        keysIn(key.state()).put(key.keyId(), key);
        responseBytes += key.responseBytes();
    }

    private void remove(KeyId keyId) {
        Stream.of(inFlight, completed, unknown)
                .map(keys -> keys.remove(keyId))
                .filter(Objects::nonNull)
                .forEach(key -> responseBytes -= key.responseBytes());
    }

    private Map<KeyId, StoredKey> keysIn(KeyState state) {
        return switch (state) {
            case IN_FLIGHT -> inFlight;
            case COMPLETED -> completed;
            case UNKNOWN -> unknown;
            default -> throw new IllegalArgumentException("state " + state + " is not stored");
        };
    }

    private KeyResult withResponse(KeyId keyId, KeyResult result) {
        Optional<RecordedResponse> response = find(keyId)
                .filter(key -> key.attemptId().equals(result.attemptId()))
                .map(StoredKey::response);
        return result.state() == KeyState.COMPLETED ? withResponse(result, response.orElse(null)) : result;
    }

    private static KeyResult withResponse(KeyResult result, @Nullable RecordedResponse response) {
        return new KeyResult(
                result.state(),
                result.attemptId(),
                result.attemptNumber(),
                result.upstreamId(),
                result.epoch(),
                response);
    }

    private static RecordedResponse withoutOversizedBody(RecordedResponse response) {
        return response.body().length <= MAX_BODY_BYTES
                ? response
                : new RecordedResponse(response.status(), response.headers(), new byte[0], false);
    }

    private static KeyResult free() {
        return new KeyResult(KeyState.FREE, "", 0, "", 0, null);
    }

    private static void replace(Map<KeyId, StoredKey> keys, List<StoredKey> stored) {
        keys.clear();
        stored.forEach(key -> keys.put(key.keyId(), key));
    }

    private KeySnapshot decode(byte[] snapshot) {
        try {
            return (KeySnapshot) codec.decode(SNAPSHOT_TYPE, snapshot);
        } catch (WagtailcartException e) {
            throw new WagtailcartException(
                    ResultCode.SNAPSHOT_DAMAGED, "the snapshot of the idempotency keys cannot be decoded", e);
        }
    }
}
