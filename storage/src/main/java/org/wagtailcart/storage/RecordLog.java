package org.wagtailcart.storage;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Append-only log file. A record consists of a header (length, CRC32C of the payload, CRC32C of these two fields) and
 * the payload. The header has a checksum of its own so that a damaged length is not mistaken for a truncated record.
 *
 * <p>Each append is synced before the next one starts, so a crash can leave only the last record incomplete.
 */
public final class RecordLog implements AutoCloseable {
    private static final Logger LOG = System.getLogger(RecordLog.class.getName());
    private static final int HEADER_BYTES = 12;
    /** Disks write full sectors, so the unwritten rest of a record reads as zeros from a sector boundary on. */
    private static final int SECTOR_BYTES = 512;

    private final Path path;
    private final FileChannel channel;
    private final SyncWatermark watermark;
    private long sizeBytes;

    private RecordLog(Path path, FileChannel channel, SyncWatermark watermark, long sizeBytes) {
        this.watermark = watermark;
        this.path = path;
        this.channel = channel;
        this.sizeBytes = sizeBytes;
    }

    /**
     * Opens a log, creating it when absent, passes its records to the consumer and truncates an incomplete last record.
     *
     * @throws WagtailcartException with {@link ResultCode#LOG_DAMAGED} when a record before the tail is damaged, with
     *     {@link ResultCode#STORAGE_FAILED} when the file cannot be read
     */
    public static RecordLog open(Path path, Consumer<byte[]> recordConsumer) {
        try {
            long fileBytes = Files.exists(path) ? Files.size(path) : 0;
            ByteBuffer content = ByteBuffer.wrap(fileBytes == 0 ? new byte[0] : Files.readAllBytes(path));
            long validBytes = readRecords(path, content, SyncWatermark.read(path), recordConsumer);
            RecordLog log = openFiles(path, validBytes);
            log.makeDurable(fileBytes);
            return log;
        } catch (IOException e) {
            throw storageFailure("open", path, e);
        }
    }

    private static RecordLog openFiles(Path path, long validBytes) throws IOException {
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            return new RecordLog(path, channel, SyncWatermark.open(path), validBytes);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Cuts an incomplete last record and syncs the log, whose records may be in the page cache only after a kill. */
    private void makeDurable(long fileBytes) throws IOException {
        try {
            if (sizeBytes < fileBytes) {
                truncateTail(fileBytes);
            }
            sync();
            watermark.sync();
        } catch (IOException | WagtailcartException e) {
            close();
            throw e;
        }
    }

    /**
     * Appends a record and syncs it; the record is durable when this method returns. After a failure the record may be
     * appended again; it is written at the same offset.
     */
    public void append(byte[] payload) {
        long startBytes = sizeBytes;
        try {
            writeUnsynced(payload);
            sync();
        } catch (WagtailcartException e) {
            sizeBytes = startBytes;
            throw e;
        }
    }

    /** Writes a record without a sync; only for a log that is not in use yet. */
    void writeUnsynced(byte[] payload) {
        ByteBuffer record = encode(payload);
        try {
            while (record.hasRemaining()) {
                sizeBytes += channel.write(record, sizeBytes);
            }
        } catch (IOException e) {
            throw storageFailure("append to", path, e);
        }
    }

    void sync() {
        try {
            channel.force(false);
        } catch (IOException e) {
            throw storageFailure("sync", path, e);
        }
        watermark.advance(sizeBytes);
    }

    /** Returns the total size of the complete records in bytes. */
    public long sizeBytes() {
        return sizeBytes;
    }

    @Override
    public void close() {
        try {
            channel.close();
            watermark.close();
        } catch (IOException e) {
            throw storageFailure("close", path, e);
        }
    }

    static ByteBuffer encode(byte[] payload) {
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        record.putInt(payload.length).putInt(Checksum.of(payload));
        record.putInt(Checksum.of(record.duplicate().flip()));
        return record.put(payload).flip();
    }

    private void truncateTail(long fileBytes) throws IOException {
        LOG.log(
                Level.WARNING,
                LogEvent.of("log-tail-cut", "file", path.getFileName(), "from", fileBytes, "to", sizeBytes));
        channel.truncate(sizeBytes);
        channel.force(true);
    }

    private static long readRecords(Path path, ByteBuffer content, long syncedBytes, Consumer<byte[]> recordConsumer) {
        while (content.remaining() >= HEADER_BYTES) {
            int start = content.position();
            int length = content.getInt();
            int payloadChecksum = content.getInt();
            int headerChecksum = content.getInt();
            if (headerChecksum
                            != Checksum.of(content.duplicate().position(start).limit(start + 8))
                    || length < 0) {
                if (start >= syncedBytes || isZero(content, start, content.limit())) {
                    return start;
                }
                throw damagedRecord(path, start, "header");
            }
            if (content.remaining() < length) {
                return start;
            }
            byte[] payload = new byte[length];
            content.get(payload);
            if (payloadChecksum != Checksum.of(payload)) {
                if (start >= syncedBytes || (!content.hasRemaining() && hasUnwrittenSector(content, start))) {
                    return start;
                }
                throw damagedRecord(path, start, "payload");
            }
            recordConsumer.accept(payload);
        }
        return content.position();
    }

    /** Returns whether the last record has a sector of zeros, as a power loss during its write leaves it. */
    private static boolean hasUnwrittenSector(ByteBuffer content, int start) {
        for (int from = start; from < content.limit(); ) {
            int to = Math.min(content.limit(), (from / SECTOR_BYTES + 1) * SECTOR_BYTES);
            if (from > start && isZero(content, from, to)) {
                return true;
            }
            from = to;
        }
        return false;
    }

    private static boolean isZero(ByteBuffer content, int from, int to) {
        for (int i = from; i < to; i++) {
            if (content.get(i) != 0) {
                return false;
            }
        }
        return true;
    }

    private static WagtailcartException damagedRecord(Path path, long offset, String part) {
        return new WagtailcartException(
                ResultCode.LOG_DAMAGED,
                "file " + path.getFileName() + " has a damaged record " + part + " at offset " + offset);
    }

    private static WagtailcartException storageFailure(String action, Path path, IOException cause) {
        return new WagtailcartException(
                ResultCode.STORAGE_FAILED, "cannot " + action + " " + path.getFileName() + ": " + cause, cause);
    }
}
