package org.wagtailcart.once;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Guards against an idempotency key that two attempts hold, that expires at the wrong time, or that loses its recorded
 * response.
 */
class IdempotencyKeyRegistryTest {
    private static final KeyId KEY = new KeyId("w", "k");
    private static final RecordedResponse RESPONSE =
            new RecordedResponse(201, List.of("a", "b"), new byte[] {1, 2}, true);

    private IdempotencyKeyRegistry registry = new IdempotencyKeyRegistry();
    private long index;

    private KeyResult apply(long timeMillis, Object command) {
        return registry.apply(++index, timeMillis, command);
    }

    private static ReserveKey reserve(KeyId key, String attemptId) {
        return new ReserveKey(key, "f", attemptId, "u1", 7);
    }

    /** Guards against a second attempt that reserves a key before the outcome of the first, however late it comes. */
    @Test
    void inFlightKeyIsNeverFreedByTimeAlone() {
        apply(0, reserve(KEY, "a1"));
        long late = IdempotencyKeyRegistry.IN_FLIGHT_LIMIT_MILLIS;
        assertThat(apply(late - 1, reserve(KEY, "a2")).state()).isEqualTo(KeyState.IN_FLIGHT);
        assertThat(apply(late, reserve(KEY, "a3")).state()).isEqualTo(KeyState.UNKNOWN);
        assertThat(apply(late + IdempotencyKeyRegistry.UNKNOWN_RETENTION_MILLIS - 1, reserve(KEY, "a4"))
                        .state())
                .isEqualTo(KeyState.UNKNOWN);
        assertThat(apply(late + IdempotencyKeyRegistry.UNKNOWN_RETENTION_MILLIS, reserve(KEY, "a5"))
                        .state())
                .isEqualTo(KeyState.RESERVED);
    }

    /** Guards against use of an expired key that waits in a backlog, and against unbounded work per command. */
    @Test
    void expiryIsExactAndBoundedPerCommand() {
        int keys = 10 * IdempotencyKeyRegistry.MAX_EXPIRED_PER_COMMAND;
        IntStream.range(0, keys).forEach(i -> {
            KeyId key = new KeyId("w", "k" + i);
            apply(0, reserve(key, "a" + i));
            apply(0, new CompleteKey(key, "a" + i, RESPONSE));
        });
        assertThat(registry.nextExpiry()).isEqualTo(OptionalLong.of(IdempotencyKeyRegistry.COMPLETED_RETENTION_MILLIS));
        KeyId last = new KeyId("w", "k" + (keys - 1));
        assertThat(apply(IdempotencyKeyRegistry.COMPLETED_RETENTION_MILLIS, reserve(last, "again"))
                        .state())
                .isEqualTo(KeyState.RESERVED);
        assertThat(registry.counters().completed())
                .isEqualTo(keys - IdempotencyKeyRegistry.MAX_EXPIRED_PER_COMMAND - 1);
    }

    /** Guards against large response bodies that fill the memory of every member. */
    @Test
    void aLargeBodyIsNotKept() {
        apply(0, reserve(KEY, "a1"));
        byte[] large = new byte[IdempotencyKeyRegistry.MAX_BODY_BYTES + 1];
        KeyResult result = apply(0, new CompleteKey(KEY, "a1", new RecordedResponse(200, List.of(), large, true)));
        assertThat(result.response().bodyKept()).isFalse();
        assertThat(registry.counters().responseBytes()).isEqualTo(0);
    }

    /** Guards against a registry that starts empty from a damaged snapshot. */
    @Test
    void aDamagedSnapshotIsRefused() {
        WagtailcartException error =
                assertThrows(WagtailcartException.class, () -> registry.restore(new byte[] {1, 2, 3}));
        assertThat(error.code()).isEqualTo(ResultCode.SNAPSHOT_DAMAGED);
    }

    /**
     * Compares the registry with a reference model under random commands, resends, time steps and snapshots. Guards
     * against a key that two attempts hold, a lost response, and a resent reservation that gets another result than the
     * first.
     */
    @Property(tries = 300, seed = "4711")
    void matchesReferenceModel(@ForAll long seed) {
        Random random = new Random(seed);
        Map<KeyId, KeyModel> models = new HashMap<>();
        Map<Object, Sent> sent = new HashMap<>();
        registry = new IdempotencyKeyRegistry();
        index = 0;
        long now = 0;
        for (int step = 0; step < 120; step++) {
            now += List.of(0L, 1L, 200_000L, 400_000L, 50_000_000L, 400_000_000L)
                    .get(random.nextInt(6));
            KeyId keyId = new KeyId("w" + random.nextInt(2), "k" + random.nextInt(2));
            Object command = command(random, keyId);
            long time = now;
            models.values().forEach(model -> model.advance(time));
            Sent earlier = sent.get(command);
            KeyModel model = models.computeIfAbsent(keyId, id -> new KeyModel());
            boolean resent = command instanceof ReserveKey && earlier != null && earlier.untilMillis > now;
            KeyState expected = resent ? earlier.state : model.expect(command, now);
            KeyResult result = apply(now, command);
            assertThat(result.state()).isEqualTo(expected);
            sent.putIfAbsent(command, new Sent(expected, now + IdempotencyKeyRegistry.RESULT_RETENTION_MILLIS));
            sent.computeIfPresent(
                    command,
                    (same, previous) -> previous.untilMillis > time
                            ? previous
                            : new Sent(expected, time + IdempotencyKeyRegistry.RESULT_RETENTION_MILLIS));
            KeyResult lookup = registry.lookup(new LookupKey(keyId, "f"));
            assertThat(lookup.state()).isEqualTo(model.state);
            assertThat(lookup.attemptId()).isEqualTo(model.attemptId);
            assertThat(lookup.response() != null).isEqualTo(model.state == KeyState.COMPLETED);
            assertThat(registry.lookup(new LookupKey(keyId, "other")).state())
                    .isEqualTo(model.state == KeyState.FREE ? KeyState.FREE : KeyState.FINGERPRINT_MISMATCH);
            if (random.nextInt(10) == 0) {
                restoreFromSnapshot();
            }
        }
    }

    private void restoreFromSnapshot() {
        byte[] snapshot = registry.snapshot();
        IdempotencyKeyRegistry copy = new IdempotencyKeyRegistry();
        copy.restore(snapshot);
        assertThat(copy.snapshot()).isEqualTo(snapshot);
        assertThat(copy.nextExpiry()).isEqualTo(registry.nextExpiry());
        registry = copy;
    }

    private static Object command(Random random, KeyId keyId) {
        String attemptId = keyId.workspace() + keyId.key() + "-a" + random.nextInt(6);
        return switch (random.nextInt(6)) {
            case 0 -> new CompleteKey(keyId, attemptId, RESPONSE);
            case 1 -> new ReleaseKey(keyId, attemptId);
            case 2 -> new MarkKeyUnknown(keyId, attemptId);
            default -> reserve(keyId, attemptId);
        };
    }

    private record Sent(KeyState state, long untilMillis) {}

    /** Reference model of one key, without the registry's maps, bounds and codec. */
    private static final class KeyModel {
        private KeyState state = KeyState.FREE;
        private String attemptId = "";
        private long sinceMillis;

        void advance(long now) {
            if (state == KeyState.IN_FLIGHT && now >= sinceMillis + IdempotencyKeyRegistry.IN_FLIGHT_LIMIT_MILLIS) {
                become(KeyState.UNKNOWN, now);
            } else if (now >= sinceMillis + retentionMillis()) {
                become(KeyState.FREE, now);
            }
        }

        private long retentionMillis() {
            return switch (state) {
                case COMPLETED -> IdempotencyKeyRegistry.COMPLETED_RETENTION_MILLIS;
                case UNKNOWN -> IdempotencyKeyRegistry.UNKNOWN_RETENTION_MILLIS;
                default -> Long.MAX_VALUE / 2;
            };
        }

        KeyState expect(Object command, long now) {
            if (command instanceof ReserveKey reserve) {
                return expectReserve(reserve, now);
            }
            boolean inFlight = state == KeyState.IN_FLIGHT;
            if (command instanceof CompleteKey complete
                    && inFlight
                    && complete.attemptId().equals(attemptId)) {
                become(KeyState.COMPLETED, now);
            } else if (command instanceof ReleaseKey release
                    && inFlight
                    && release.attemptId().equals(attemptId)) {
                become(KeyState.FREE, now);
            } else if (command instanceof MarkKeyUnknown mark
                    && inFlight
                    && mark.attemptId().equals(attemptId)) {
                become(KeyState.UNKNOWN, now);
            }
            return state;
        }

        private KeyState expectReserve(ReserveKey reserve, long now) {
            if (state == KeyState.FREE) {
                attemptId = reserve.attemptId();
                become(KeyState.IN_FLIGHT, now);
                return KeyState.RESERVED;
            }
            return reserve.attemptId().equals(attemptId) ? KeyState.RESERVED : state;
        }

        private void become(KeyState next, long now) {
            state = next;
            sinceMillis = now;
            attemptId = next == KeyState.FREE ? "" : attemptId;
        }
    }
}
