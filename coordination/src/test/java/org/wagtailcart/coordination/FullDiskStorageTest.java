package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.testing.DiskFault;
import org.wagtailcart.testing.FaultyDisk;

/** Guards against a full disk that keeps the storage of a member from working after the disk has room again. */
class FullDiskStorageTest {
    private static final int FAILED_ATTEMPTS = 30;
    private static final int PAYLOAD_BYTES = 1_000;
    private static final long LAST_INDEX = 100;
    private static final long BASE_INDEX = 50;
    private static final Membership MEMBERS = new Membership(0, List.of());

    @TempDir
    Path folder;

    private FaultyDisk disk;

    @BeforeEach
    void createDisk() {
        disk = new FaultyDisk(folder);
    }

    /** Guards against files and descriptors that each failed attempt to write a snapshot leaves behind. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void failedSnapshotsLeaveNothingBehind(DiskFault fault) {
        try (RaftStorage storage = storageWithEntries()) {
            int openBefore = disk.openChannels();
            long usedBefore = disk.usedBytes();
            disk.setFault(fault);
            failSnapshots(storage);
            assertThat(disk.openChannels()).isEqualTo(openBefore);
            assertThat(disk.usedBytes()).isAtMost(usedBefore + snapshotBytes());
            disk.setFault(DiskFault.NONE);
            saveSnapshot(storage);
        }
        assertHasEntries(LAST_INDEX);
    }

    /** Guards against room that failed attempts keep for themselves, so that the disk stays full for ever. */
    @Test
    void snapshotSucceedsOnceThereIsRoomForIt() {
        try (RaftStorage storage = storageWithEntries()) {
            int openBefore = disk.openChannels();
            long neededBytes = snapshotBytes() + (LAST_INDEX - BASE_INDEX) * (PAYLOAD_BYTES + 100L);
            long usedBefore = disk.usedBytes();
            for (long percent = 70; percent < 100; percent += 10) {
                disk.setCapacityBytes(usedBefore + neededBytes * percent / 100);
                failSnapshots(storage);
            }
            assertThat(disk.openChannels()).isEqualTo(openBefore);
            disk.setCapacityBytes(usedBefore + neededBytes);
            saveSnapshot(storage);
        }
        assertHasEntries(LAST_INDEX);
    }

    /** Guards against a repeated write that damages the log or loses entries that are stored already. */
    @ParameterizedTest
    @EnumSource(names = {"WRITES", "PARTIAL_WRITES", "SYNCS", "WRITES_AND_FILES"})
    void entriesAreKeptOverFailedWrites(DiskFault fault) {
        try (RaftStorage storage = storageWithEntries()) {
            for (long index = LAST_INDEX + 1; index <= 2 * LAST_INDEX; index++) {
                List<NodeOutput.StorageWrite> writes = List.of(write(index, index));
                disk.setFault(fault);
                attempt(() -> storage.write(writes));
                disk.setFault(DiskFault.NONE);
                storage.write(writes);
            }
        }
        assertHasEntries(2 * LAST_INDEX);
    }

    /** Guards against entries in a log file that a restart doesn't open, because a newer one exists by name. */
    @Test
    void entriesAfterAFailedSyncOfTheFolderAreKept() {
        try (RaftStorage storage = storageWithEntries()) {
            disk.failFolderSyncsAfter(1);
            attempt(() -> saveSnapshot(storage));
            List<NodeOutput.StorageWrite> writes = List.of(write(LAST_INDEX + 1, LAST_INDEX + 1));
            attempt(() -> storage.write(writes));
            disk.failFolderSyncsAfter(Integer.MAX_VALUE);
            storage.write(writes);
        }
        assertHasEntries(LAST_INDEX + 1);
    }

    /** Guards against a restart on a full disk that damages the log, or fails although nothing has to be written. */
    @ParameterizedTest
    @EnumSource(names = {"WRITES", "PARTIAL_WRITES", "WRITES_AND_FILES", "FILES"})
    void opensOnAFullDisk(DiskFault fault) {
        storageWithEntries().close();
        disk.setFault(fault);
        assertHasEntries(LAST_INDEX);
        disk.setFault(DiskFault.NONE);
        assertHasEntries(LAST_INDEX);
    }

    private RaftStorage storageWithEntries() {
        RaftStorage storage = new RaftStorage(disk.root(), "m1");
        storage.write(List.of(write(1, LAST_INDEX)));
        return storage;
    }

    private static NodeOutput.StorageWrite write(long from, long to) {
        return new NodeOutput.StorageWrite(
                from,
                new HardState(1, null),
                null,
                LongStream.rangeClosed(from, to)
                        .mapToObj(FullDiskStorageTest::entry)
                        .toList());
    }

    private static LogEntry entry(long index) {
        return new LogEntry(index, 1, 0, LogEntry.Kind.COMMAND, new byte[PAYLOAD_BYTES]);
    }

    private static void saveSnapshot(RaftStorage storage) {
        storage.saveSnapshot(
                new Snapshot(LAST_INDEX, 1, 0, MEMBERS, new byte[(int) (BASE_INDEX * PAYLOAD_BYTES)]),
                BASE_INDEX,
                1,
                LongStream.rangeClosed(BASE_INDEX + 1, LAST_INDEX)
                        .mapToObj(FullDiskStorageTest::entry)
                        .toList());
    }

    private static long snapshotBytes() {
        return BASE_INDEX * PAYLOAD_BYTES + 1_000;
    }

    private static void failSnapshots(RaftStorage storage) {
        IntStream.range(0, FAILED_ATTEMPTS).forEach(i -> attempt(() -> saveSnapshot(storage)));
    }

    private static void attempt(Runnable write) {
        WagtailcartException failure = assertThrows(WagtailcartException.class, write::run);
        assertThat(failure.code()).isEqualTo(ResultCode.STORAGE_FAILED);
    }

    private void assertHasEntries(long lastIndex) {
        try (RaftStorage storage = new RaftStorage(disk.root(), "m1")) {
            assertThat(storage.takeLog().lastIndex()).isEqualTo(lastIndex);
            assertThat(storage.hardState()).isEqualTo(new HardState(1, null));
        }
    }
}
