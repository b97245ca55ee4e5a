package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.testing.FaultyDisk;
import org.wagtailcart.testing.TestAddresses;

/**
 * Guards against a member that acknowledges nothing any more because its disk has no room for a snapshot, although it
 * has room for the log.
 */
class SnapshotWithoutRoomTest {
    private static final int SNAPSHOT_ENTRIES = 50;
    private static final RaftTuning TUNING =
            new RaftTuning(20, 300, 600, 1 << 20, 16, 64, SNAPSHOT_ENTRIES, 1 << 20, 5, 20_000);
    private static final int COMMAND_BYTES = 1_000;
    private static final int COMMANDS = 80;
    private static final int EXTRA_BYTES_PER_COMMAND = 100;
    private static final long TIMEOUT_MILLIS = 20_000;

    @TempDir
    Path folder;

    @Test
    void commandsAreAcknowledgedAndTheSnapshotIsTakenLater() throws Exception {
        FaultyDisk disk = new FaultyDisk(folder);
        List<InitialMember> initial = List.of(new InitialMember("m1", TestAddresses.free()));
        try (LoopbackMember member =
                new LoopbackMember(initial.get(0), disk.root(), initial, TUNING, new RecordingStateMachine())) {
            awaitLeader(member);
            disk.setCapacityBytes(disk.usedBytes() + COMMANDS * (COMMAND_BYTES + EXTRA_BYTES_PER_COMMAND));
            for (int i = 0; i < COMMANDS; i++) {
                member.log.propose(command(i)).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            assertThat(disk.failures()).isGreaterThan(0);
            assertThat(member.log.status().snapshotIndex()).isEqualTo(0);
            disk.setCapacityBytes(Long.MAX_VALUE);
            awaitSnapshot(member);
        }
        try (LoopbackMember member =
                new LoopbackMember(initial.get(0), disk.root(), initial, TUNING, new RecordingStateMachine())) {
            awaitLeader(member);
            member.log.confirmLeadership().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(member.log
                            .read(((RecordingStateMachine) member.stateMachine)::commands)
                            .join())
                    .isEqualTo(IntStream.range(0, COMMANDS)
                            .mapToObj(i -> new String(command(i), StandardCharsets.UTF_8))
                            .toList());
        }
    }

    private static byte[] command(int number) {
        return (number + "-" + "x".repeat(COMMAND_BYTES)).getBytes(StandardCharsets.UTF_8);
    }

    private static void awaitLeader(LoopbackMember member) {
        await(() -> member.log.status().role() == RaftStatus.Role.LEADER);
    }

    private static void awaitSnapshot(LoopbackMember member) {
        await(() -> member.log.status().snapshotIndex() > 0);
    }

    private static void await(BooleanSupplier condition) {
        long deadlineMillis = MillisClock.monotonic().nowMillis() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(MillisClock.monotonic().nowMillis()).isLessThan(deadlineMillis);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
