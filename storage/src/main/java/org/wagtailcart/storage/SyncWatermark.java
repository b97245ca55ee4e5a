package org.wagtailcart.storage;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.wagtailcart.common.LogEvent;

/**
 * Watermark file of a log: the number of bytes that were synced. It is written after each sync of the log but not
 * synced itself, so after a power loss it may be too low, never too high. Damage above the watermark is treated as an
 * incomplete write of a record that was never acknowledged.
 */
final class SyncWatermark implements AutoCloseable {
    private static final Logger LOG = System.getLogger(SyncWatermark.class.getName());
    private static final String PREFIX = "synced-";
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final int BYTES = Long.BYTES + Integer.BYTES;
    /** Value for a log without a watermark file: every byte of the log may have been acknowledged. */
    static final long NO_WATERMARK = Long.MAX_VALUE;

    private final Path path;
    private final FileChannel channel;

    private SyncWatermark(Path path, FileChannel channel) {
        this.path = path;
        this.channel = channel;
    }

    /** Returns the path of the watermark of a log; the same for the temporary and the final name of the log. */
    static Path pathOf(Path log) {
        String name = String.valueOf(log.getFileName()).replace(TEMPORARY_SUFFIX, "");
        return log.resolveSibling(PREFIX + name);
    }

    static SyncWatermark open(Path log) throws IOException {
        Path path = pathOf(log);
        return new SyncWatermark(path, FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE));
    }

    /** Returns how many bytes of a log are known to be synced, {@link #NO_WATERMARK} when it has no watermark. */
    static long read(Path log) throws IOException {
        Path path = pathOf(log);
        if (!Files.exists(path)) {
            return NO_WATERMARK;
        }
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(path));
        if (content.remaining() != BYTES) {
            return 0;
        }
        long syncedBytes = content.getLong();
        return content.getInt() == checksum(syncedBytes) ? syncedBytes : 0;
    }

    /** Records that a log was synced up to an offset. A failure leaves the watermark too low, which is safe. */
    void advance(long syncedBytes) {
        ByteBuffer content = ByteBuffer.allocate(BYTES).putLong(syncedBytes).putInt(checksum(syncedBytes));
        try {
            int unused = channel.write(content.flip(), 0);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, LogEvent.of("sync-mark-failed", "file", path.getFileName(), "reason", e));
        }
    }

    /** Syncs the watermark file. */
    void sync() throws IOException {
        channel.force(true);
    }

    private static int checksum(long syncedBytes) {
        return Checksum.of(ByteBuffer.allocate(Long.BYTES).putLong(syncedBytes).flip());
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
