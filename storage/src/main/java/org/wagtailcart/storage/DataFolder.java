package org.wagtailcart.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Data folder of one control member. It is locked while open and holds the identity of the member: its id and its
 * incarnation, a random number generated when the folder is first opened.
 */
public final class DataFolder implements AutoCloseable {
    private static final String LOCK_FILE = "lock";
    private static final String IDENTITY_FILE = "identity";
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final int HEADER_BYTES = 8;

    private final Path folder;
    private final FileChannel lockChannel;
    private final long incarnation;

    private DataFolder(Path folder, FileChannel lockChannel, long incarnation) {
        this.folder = folder;
        this.lockChannel = lockChannel;
        this.incarnation = incarnation;
    }

    /**
     * Opens a folder; creates an identity when it is empty.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the folder is in use or belongs to
     *     another member, with {@link ResultCode#LOG_DAMAGED} when it has files but no readable identity
     */
    public static DataFolder open(Path folder, String memberId) {
        try {
            Files.createDirectories(folder);
            FileChannel lockChannel = lock(folder);
            try {
                deleteTemporaryFiles(folder);
                return new DataFolder(folder, lockChannel, readOrCreateIdentity(folder, memberId));
            } catch (WagtailcartException | IOException e) {
                lockChannel.close();
                throw e;
            }
        } catch (IOException e) {
            throw storageFailure("open", folder, e);
        }
    }

    /** Returns whether a folder has no files, temporary ones aside, so that {@link #open} would create an identity. */
    public static boolean isEmpty(Path folder) {
        try {
            return !Files.exists(folder)
                    || fileNames(folder).stream().allMatch(name -> name.endsWith(TEMPORARY_SUFFIX));
        } catch (IOException e) {
            throw storageFailure("list", folder, e);
        }
    }

    /** Deletes all files of a folder, which no process may have open; the next open creates a new identity. */
    public static void clear(Path folder) {
        try {
            for (String name : fileNames(folder)) {
                Files.delete(folder.resolve(name));
            }
            syncFolder(folder);
        } catch (IOException e) {
            throw storageFailure("clear", folder, e);
        }
    }

    /** Returns the incarnation of the member; never 0. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the names of the files that start with a prefix, in ascending order. */
    public List<String> fileNames(String prefix) {
        try {
            return fileNames(folder).stream()
                    .filter(name -> name.startsWith(prefix))
                    .toList();
        } catch (IOException e) {
            throw storageFailure("list", folder, e);
        }
    }

    /** Writes or replaces a file atomically and durably: after a crash it has its old or its new content. */
    public void write(String name, byte[] content) {
        try {
            write(folder, name, content);
        } catch (IOException e) {
            throw storageFailure("write", folder.resolve(name), e);
        }
    }

    /**
     * Returns the content of a file written by {@link #write}.
     *
     * @throws WagtailcartException with the given code when its length or checksum is wrong
     */
    public byte[] read(String name, ResultCode damagedCode) {
        try {
            return read(folder, name, damagedCode);
        } catch (IOException e) {
            throw storageFailure("read", folder.resolve(name), e);
        }
    }

    /** Opens a log in the folder, creating it when absent, and passes its records to the consumer. */
    public RecordLog openLog(String name, Consumer<byte[]> recordConsumer) {
        return RecordLog.open(folder.resolve(name), recordConsumer);
    }

    /**
     * Creates a log with the given records atomically: after a crash it is either absent or complete. It may be absent
     * until {@link #sync} has succeeded. A failed attempt may leave a temporary file, which starts with the same name.
     */
    public RecordLog createLog(String name, List<byte[]> records) {
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try {
            Files.deleteIfExists(temporary);
        } catch (IOException e) {
            throw storageFailure("create", temporary, e);
        }
        RecordLog log = RecordLog.open(temporary, record -> {});
        try {
            records.forEach(log::writeUnsynced);
            log.sync();
            Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
            return log;
        } catch (WagtailcartException e) {
            log.close();
            throw e;
        } catch (IOException e) {
            log.close();
            throw storageFailure("create", temporary, e);
        }
    }

    /** Makes created, renamed and deleted files durable. */
    public void sync() {
        try {
            syncFolder(folder);
        } catch (IOException e) {
            throw storageFailure("sync", folder, e);
        }
    }

    /** Deletes a file without a sync of the folder. The file may reappear after a crash; callers must tolerate it. */
    public void delete(String name) {
        try {
            Files.deleteIfExists(folder.resolve(name));
        } catch (IOException e) {
            throw storageFailure("delete", folder.resolve(name), e);
        }
    }

    @Override
    public void close() {
        try {
            lockChannel.close();
        } catch (IOException e) {
            throw storageFailure("unlock", folder, e);
        }
    }

    private static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (tryLock(channel).isEmpty()) {
            channel.close();
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "data folder " + folder.getFileName() + " is in use by another process");
        }
        return channel;
    }

    private static Optional<FileLock> tryLock(FileChannel channel) throws IOException {
        try {
            return Optional.ofNullable(channel.tryLock());
        } catch (OverlappingFileLockException e) {
            return Optional.empty();
        }
    }

    private static void deleteTemporaryFiles(Path folder) throws IOException {
        for (String name : fileNames(folder)) {
            if (name.endsWith(TEMPORARY_SUFFIX)) {
                Files.delete(folder.resolve(name));
            }
        }
    }

    private static long readOrCreateIdentity(Path folder, String memberId) throws IOException {
        List<String> names = fileNames(folder);
        if (!names.contains(IDENTITY_FILE)) {
            return createIdentity(folder, memberId, names);
        }
        ByteBuffer content = ByteBuffer.wrap(read(folder, IDENTITY_FILE, ResultCode.LOG_DAMAGED));
        long incarnation = content.getLong();
        String owner = StandardCharsets.UTF_8.decode(content).toString();
        if (!owner.equals(memberId)) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "data folder belongs to member \"" + owner + "\", not to \"" + memberId + "\"");
        }
        return incarnation;
    }

    private static long createIdentity(Path folder, String memberId, List<String> names) throws IOException {
        if (!names.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.LOG_DAMAGED, "data folder has files but no identity file: " + names);
        }
        byte[] id = memberId.getBytes(StandardCharsets.UTF_8);
        long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
        write(
                folder,
                IDENTITY_FILE,
                ByteBuffer.allocate(Long.BYTES + id.length)
                        .putLong(incarnation)
                        .put(id)
                        .array());
        return incarnation;
    }

    private static List<String> fileNames(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> String.valueOf(file.getFileName()))
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        }
    }

    private static void write(Path folder, String name, byte[] content) throws IOException {
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            writeFully(
                    channel,
                    ByteBuffer.allocate(HEADER_BYTES)
                            .putInt(content.length)
                            .putInt(Checksum.of(content))
                            .flip());
            writeFully(channel, ByteBuffer.wrap(content));
            channel.force(true);
        }
        renameDurably(folder, temporary, name);
    }

    private static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    private static void renameDurably(Path folder, Path temporary, String name) throws IOException {
        Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        syncFolder(folder);
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static byte[] read(Path folder, String name, ResultCode damagedCode) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(folder.resolve(name)));
        boolean complete = bytes.remaining() >= HEADER_BYTES;
        int length = complete ? bytes.getInt() : 0;
        int checksum = complete ? bytes.getInt() : 0;
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (!complete || length != content.length || checksum != Checksum.of(content)) {
            throw new WagtailcartException(
                    damagedCode, "file " + name + " is damaged: its length or checksum is wrong");
        }
        return content;
    }

    private static WagtailcartException storageFailure(String action, Path path, IOException cause) {
        return new WagtailcartException(
                ResultCode.STORAGE_FAILED, "cannot " + action + " " + path.getFileName() + ": " + cause, cause);
    }
}
