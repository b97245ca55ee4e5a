package org.wagtailcart.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Guards against logs and data folders that lose acknowledged data, accept damaged data or block a restart. */
class RecordLogTest {
    private static final int HEADER_BYTES = 12;
    private static final List<byte[]> RECORDS =
            List.of(new byte[] {1}, new byte[0], new byte[] {2, 3, 4, 5, 6}, filled());
    private static final int FILE_BYTES =
            RECORDS.stream().mapToInt(record -> HEADER_BYTES + record.length).sum();

    @TempDir
    Path folder;

    static IntStream offsets() {
        return IntStream.range(0, FILE_BYTES);
    }

    /** Guards against an incomplete last record that prevents opening the log or costs a complete record. */
    @ParameterizedTest
    @MethodSource("offsets")
    void truncatesAFileThatEndsAnywhereToCompleteRecords(int length) throws IOException {
        Path file = write();
        Files.write(file, Arrays.copyOf(Files.readAllBytes(file), length));
        int complete = completeRecords(length);
        assertReads(file, RECORDS.subList(0, complete));
        try (RecordLog log = RecordLog.open(file, record -> {})) {
            log.append(new byte[] {9});
        }
        List<byte[]> expected = new ArrayList<>(RECORDS.subList(0, complete));
        expected.add(new byte[] {9});
        assertReads(file, expected);
    }

    /** Guards against a bit flip at any offset that changes a record or drops an acknowledged one unnoticed. */
    @ParameterizedTest
    @MethodSource("offsets")
    void stopsOnAFlippedBitAnywhere(int offset) throws IOException {
        Path file = write();
        byte[] undamaged = Files.readAllBytes(file);
        for (int bit = 0; bit < Byte.SIZE; bit++) {
            byte[] bytes = undamaged.clone();
            bytes[offset] ^= (byte) (1 << bit);
            Files.write(file, bytes);
            WagtailcartException error =
                    assertThrows(WagtailcartException.class, () -> RecordLog.open(file, record -> {}));
            assertThat(error.code()).isEqualTo(ResultCode.LOG_DAMAGED);
        }
    }

    /** Guards against a log that cannot be opened after a power loss left sectors of its last record unwritten. */
    @ParameterizedTest
    @ValueSource(ints = {512, 1024, 1536})
    void truncatesALastRecordWithUnwrittenSectors(int writtenBytes) throws IOException {
        Path file = folder.resolve("log");
        try (RecordLog log = RecordLog.open(file, record -> {})) {
            log.append(filled());
            byte[] large = new byte[2_000];
            Arrays.fill(large, (byte) 7);
            log.append(large);
        }
        byte[] bytes = Files.readAllBytes(file);
        Arrays.fill(bytes, writtenBytes, bytes.length, (byte) 0);
        Files.write(file, bytes);
        assertReads(file, List.of(filled()));
    }

    /** Guards against two processes that write to one folder, and against use of the folder of another member. */
    @Test
    void folderIsExclusiveAndKeepsItsIdentity() {
        long incarnation;
        try (DataFolder open = DataFolder.open(folder, "m1")) {
            incarnation = open.incarnation();
            assertThat(codeOf("m1")).isEqualTo(ResultCode.INVALID_ARGUMENT);
        }
        assertThat(codeOf("m2")).isEqualTo(ResultCode.INVALID_ARGUMENT);
        try (DataFolder open = DataFolder.open(folder, "m1")) {
            assertThat(open.incarnation()).isEqualTo(incarnation);
        }
    }

    /** Guards against use of a damaged snapshot, and against a new identity for a folder that lost its own. */
    @Test
    void rejectsDamagedFiles() throws IOException {
        try (DataFolder open = DataFolder.open(folder, "m1")) {
            open.write("snapshot-1", new byte[] {1, 2, 3});
            Path file = folder.resolve("snapshot-1");
            byte[] bytes = Files.readAllBytes(file);
            bytes[bytes.length - 1] ^= 1;
            Files.write(file, bytes);
            WagtailcartException error = assertThrows(
                    WagtailcartException.class, () -> open.read("snapshot-1", ResultCode.SNAPSHOT_DAMAGED));
            assertThat(error.code()).isEqualTo(ResultCode.SNAPSHOT_DAMAGED);
        }
        Files.delete(folder.resolve("identity"));
        assertThat(codeOf("m1")).isEqualTo(ResultCode.LOG_DAMAGED);
    }

    private ResultCode codeOf(String memberId) {
        return assertThrows(WagtailcartException.class, () -> DataFolder.open(folder, memberId))
                .code();
    }

    private Path write() {
        Path file = folder.resolve("log");
        try (RecordLog log = RecordLog.open(file, record -> {})) {
            RECORDS.forEach(log::append);
        }
        return file;
    }

    private static int completeRecords(int length) {
        int count = 0;
        int end = 0;
        for (byte[] record : RECORDS) {
            end += HEADER_BYTES + record.length;
            count += end <= length ? 1 : 0;
        }
        return count;
    }

    private static void assertReads(Path file, List<byte[]> expected) {
        List<String> read = new ArrayList<>();
        RecordLog.open(file, record -> read.add(Arrays.toString(record))).close();
        assertThat(read)
                .containsExactlyElementsIn(
                        expected.stream().map(Arrays::toString).toList())
                .inOrder();
    }

    private static byte[] filled() {
        byte[] bytes = new byte[40];
        Arrays.fill(bytes, (byte) 0x55);
        return bytes;
    }

    /** Guards against a log that cannot be opened after a power loss left part of an unacknowledged record. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 5, 9, 12, 15, 30, 41})
    void truncatesARecordThatWasNotSyncedHoweverItIsTorn(int offset) throws IOException {
        Path file = folder.resolve("torn");
        byte[] acknowledged = {1, 2, 3};
        byte[] watermark;
        try (RecordLog log = RecordLog.open(file, record -> {})) {
            log.append(acknowledged);
            watermark = Files.readAllBytes(SyncWatermark.pathOf(file));
            log.append(new byte[30]);
        }
        Files.write(SyncWatermark.pathOf(file), watermark);
        byte[] bytes = Files.readAllBytes(file);
        bytes[HEADER_BYTES + acknowledged.length + offset] ^= 0x55;
        Files.write(file, bytes);
        assertReads(file, List.of(acknowledged));
    }

    /** Guards against damage to a synced last record that is treated as an incomplete write. */
    @Test
    void stopsOnADamagedLastRecordThatWasSynced() throws IOException {
        Path file = folder.resolve("damaged");
        try (RecordLog log = RecordLog.open(file, record -> {})) {
            log.append(new byte[] {1, 2, 3});
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[HEADER_BYTES + 1] ^= 0x55;
        Files.write(file, bytes);
        assertThrows(WagtailcartException.class, () -> RecordLog.open(file, record -> {}));
    }
}
