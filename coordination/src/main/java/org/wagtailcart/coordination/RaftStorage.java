package org.wagtailcart.coordination;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.storage.DataFolder;
import org.wagtailcart.storage.RecordLog;

/**
 * Durable storage of a member: its latest snapshot and one log file that starts at or before the snapshot. Each new
 * snapshot is followed by a new log file without the entries that are no longer needed. Used by one thread at a time.
 */
final class RaftStorage implements AutoCloseable {
    private static final Logger LOG = System.getLogger(RaftStorage.class.getName());
    private static final String INITIAL_MEMBERS_FILE = "founders";
    private static final String LOG_PREFIX = "log-";
    /** Prefix of the file that records how far a log is synced. */
    private static final String WATERMARK_PREFIX = "synced-";

    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final int HARD_STATE = 1;
    private static final int ENTRY = 2;
    private static final int BASE = 3;

    private final DataFolder folder;
    private final List<InitialMember> initialMembers;
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = new HardState(0, null);
    private @Nullable Snapshot snapshot;
    private long baseIndex = -1;
    private long baseTerm;
    private long generation;
    /** Snapshot that the current log continues; empty for none. */
    private String snapshotName = "";
    /** Whether the name of the current log may be lost in a crash. Nothing is acknowledged meanwhile. */
    private boolean logNameUnsynced;

    private RecordLog log;

    /**
     * Opens a data folder and loads its state, or initializes an empty folder.
     *
     * @throws WagtailcartException with {@link ResultCode#LOG_DAMAGED} or {@link ResultCode#SNAPSHOT_DAMAGED} when
     *     acknowledged data cannot be read
     */
    RaftStorage(Path path, String memberId) {
        this(path, memberId, List.of());
    }

    private RaftStorage(Path path, String memberId, List<InitialMember> givenMembers) {
        boolean fresh = DataFolder.isEmpty(path);
        folder = DataFolder.open(path, memberId);
        try {
            if (fresh) {
                folder.write(INITIAL_MEMBERS_FILE, encodeInitialMembers(givenMembers));
            }
            log = fresh ? createLog(0, 0, List.of()) : load();
            syncLogName();
            deleteUnusedFiles();
            initialMembers = givenMembers.isEmpty() ? decodeInitialMembers() : givenMembers;
        } catch (RuntimeException e) {
            folder.close();
            throw e;
        }
    }

    /**
     * Opens the data folder of a member. When seed addresses are set, so that members join their group automatically, a
     * folder that is damaged or whose first start did not finish is emptied; the member then joins with another
     * incarnation.
     */
    static RaftStorage open(RaftOptions options) {
        Path path = options.dataFolder();
        boolean selfRepair = !options.seedAddresses().isEmpty();
        try {
            return new RaftStorage(path, options.memberId(), options.initialMembers());
        } catch (WagtailcartException e) {
            boolean damaged = e.code() == ResultCode.LOG_DAMAGED || e.code() == ResultCode.SNAPSHOT_DAMAGED;
            if (!selfRepair || !damaged) {
                throw e;
            }
            LOG.log(
                    Level.ERROR,
                    LogEvent.of("data-folder-emptied", "code", e.code().number(), "reason", e.getMessage()));
            DataFolder.clear(path);
            return new RaftStorage(path, options.memberId(), List.of());
        }
    }

    /** Returns the initial members of the group as given at the first start with this folder. */
    List<InitialMember> initialMembers() {
        return initialMembers;
    }

    long incarnation() {
        return folder.incarnation();
    }

    HardState hardState() {
        return hardState;
    }

    /** Returns the log loaded at opening and releases it; to be called once. */
    NodeLog takeLog() {
        NodeLog loaded = new NodeLog(snapshot, baseIndex, baseTerm, entries);
        entries.clear();
        snapshot = null;
        return loaded;
    }

    /** Makes the given writes durable in their order, with one sync unless one of them has a snapshot. */
    void write(List<NodeOutput.StorageWrite> writes) {
        syncLogName();
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        for (NodeOutput.StorageWrite write : writes) {
            HardState changed = write.hardState();
            if (changed != null) {
                hardState = changed;
                record.writeBytes(encode(changed));
            }
            Snapshot received = write.snapshot();
            if (received != null) {
                // Entries of the earlier writes are covered by the snapshot or conflict with it.
                record.reset();
                saveSnapshot(received, received.index(), received.term(), List.of());
            }
            write.entries().forEach(entry -> record.writeBytes(encode(entry)));
        }
        if (record.size() > 0) {
            log.append(record.toByteArray());
        }
    }

    /**
     * Writes a snapshot, then a new log file with the given entries after the base, and deletes the old files. After a
     * failure the storage goes on with the old or the new log file, both of which hold all that was written, and the
     * files of the attempt are deleted, so that they don't take the room that the next one needs.
     */
    void saveSnapshot(Snapshot newSnapshot, long newBaseIndex, long newBaseTerm, List<LogEntry> retainedEntries) {
        syncLogName();
        String name = String.format("%s%019d", SNAPSHOT_PREFIX, newSnapshot.index());
        RecordLog old = log;
        try {
            folder.write(name, encode(newSnapshot));
            log = createLog(newBaseIndex, newBaseTerm, retainedEntries);
        } catch (WagtailcartException e) {
            deleteUnusedFiles();
            throw e;
        }
        snapshotName = name;
        old.close();
        syncLogName();
        deleteUnusedFiles();
    }

    private void syncLogName() {
        if (logNameUnsynced) {
            folder.sync();
            logNameUnsynced = false;
        }
    }

    @Override
    public void close() {
        log.close();
        folder.close();
    }

    private RecordLog load() {
        List<String> snapshots = folder.fileNames(SNAPSHOT_PREFIX);
        Snapshot latest = null;
        if (!snapshots.isEmpty()) {
            snapshotName = snapshots.get(snapshots.size() - 1);
            latest = decodeSnapshot(folder.read(snapshotName, ResultCode.SNAPSHOT_DAMAGED));
        }
        snapshot = latest;
        List<String> logs = folder.fileNames(LOG_PREFIX);
        if (logs.isEmpty()) {
            throw damaged("the data folder has an identity but no log file");
        }
        generation = Long.parseLong(logs.get(logs.size() - 1).substring(LOG_PREFIX.length()));
        RecordLog opened = folder.openLog(logName(), this::readRecord);
        if (baseIndex < 0 || baseIndex > (latest == null ? 0 : latest.index())) {
            throw damaged("log " + logName() + " starts after index " + baseIndex + ", which no snapshot covers");
        }
        if (latest != null && !logCovers(latest)) {
            opened.close();
            entries.clear();
            baseIndex = latest.index();
            baseTerm = latest.term();
            opened = createLog(baseIndex, baseTerm, List.of());
        }
        return opened;
    }

    /**
     * Returns whether the log has the last entry that the snapshot covers. If not, the process ended after it had
     * written the snapshot and before it had created the new log file.
     */
    private boolean logCovers(Snapshot latest) {
        if (latest.index() == baseIndex) {
            return baseTerm == latest.term();
        }
        int position = (int) (latest.index() - baseIndex - 1);
        return position < entries.size() && entries.get(position).term() == latest.term();
    }

    private RecordLog createLog(long newBaseIndex, long newBaseTerm, List<LogEntry> retainedEntries) {
        List<byte[]> records = new ArrayList<>();
        records.add(encodeBase(newBaseIndex, newBaseTerm));
        records.add(encode(hardState));
        retainedEntries.forEach(entry -> records.add(encode(entry)));
        RecordLog created = folder.createLog(logName(generation + 1), records);
        generation++;
        baseIndex = newBaseIndex;
        baseTerm = newBaseTerm;
        logNameUnsynced = true;
        return created;
    }

    private String logName() {
        return logName(generation);
    }

    private static String logName(long generation) {
        return String.format("%s%019d", LOG_PREFIX, generation);
    }

    private void deleteUnusedFiles() {
        deleteAllBut(SNAPSHOT_PREFIX, snapshotName);
        deleteAllBut(LOG_PREFIX, logName());
        deleteAllBut(WATERMARK_PREFIX, WATERMARK_PREFIX + logName());
    }

    private void deleteAllBut(String prefix, String keep) {
        folder.fileNames(prefix).stream().filter(name -> !name.equals(keep)).forEach(folder::delete);
    }

    private void readRecord(byte[] record) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record))) {
            while (in.available() > 0) {
                readItem(in);
            }
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.LOG_DAMAGED, "a log record cannot be decoded", e);
        }
    }

    private void readItem(DataInputStream in) throws IOException {
        int kind = in.readByte();
        switch (kind) {
            case HARD_STATE -> hardState = readHardState(in);
            case ENTRY -> readEntry(in);
            case BASE -> readBase(in);
            default -> throw damaged("unknown item kind " + kind + " in a log record");
        }
    }

    private void readBase(DataInputStream in) throws IOException {
        baseIndex = in.readLong();
        baseTerm = in.readLong();
        long incarnation = in.readLong();
        if (incarnation != folder.incarnation()) {
            throw damaged(
                    "the log belongs to incarnation " + incarnation + ", the data folder to " + folder.incarnation());
        }
    }

    private static byte[] encodeInitialMembers(List<InitialMember> members) {
        return members.stream()
                .map(member -> member.memberId() + "@" + member.address())
                .collect(Collectors.joining("\n"))
                .getBytes(StandardCharsets.UTF_8);
    }

    private List<InitialMember> decodeInitialMembers() {
        if (!folder.fileNames(INITIAL_MEMBERS_FILE).contains(INITIAL_MEMBERS_FILE)) {
            return List.of();
        }
        String text = new String(folder.read(INITIAL_MEMBERS_FILE, ResultCode.LOG_DAMAGED), StandardCharsets.UTF_8);
        return text.lines()
                .map(line -> line.split("@", 2))
                .map(parts -> new InitialMember(parts[0], Address.parse(parts[1])))
                .toList();
    }

    private static HardState readHardState(DataInputStream in) throws IOException {
        long term = in.readLong();
        MemberKey vote = in.readBoolean() ? new MemberKey(in.readUTF(), in.readLong()) : null;
        return new HardState(term, vote);
    }

    private void readEntry(DataInputStream in) throws IOException {
        long index = in.readLong();
        long term = in.readLong();
        long timeMillis = in.readLong();
        LogEntry.Kind kind = LogEntry.Kind.ofNumber(in.readByte());
        byte[] payload = in.readNBytes(in.readInt());
        long position = index - baseIndex - 1;
        if (position < 0 || position > entries.size()) {
            throw damaged("entry " + index + " does not follow the last entry " + (baseIndex + entries.size()));
        }
        entries.subList((int) position, entries.size()).clear();
        entries.add(new LogEntry(index, term, timeMillis, kind, payload));
    }

    private byte[] encodeBase(long index, long term) {
        return bytes(out -> {
            out.writeByte(BASE);
            out.writeLong(index);
            out.writeLong(term);
            out.writeLong(folder.incarnation());
        });
    }

    private static byte[] encode(HardState state) {
        return bytes(out -> {
            out.writeByte(HARD_STATE);
            out.writeLong(state.term());
            MemberKey vote = state.vote();
            out.writeBoolean(vote != null);
            if (vote != null) {
                out.writeUTF(vote.memberId());
                out.writeLong(vote.incarnation());
            }
        });
    }

    private static byte[] encode(LogEntry entry) {
        return bytes(out -> {
            out.writeByte(ENTRY);
            out.writeLong(entry.index());
            out.writeLong(entry.term());
            out.writeLong(entry.timeMillis());
            out.writeByte(entry.kind().number());
            out.writeInt(entry.payload().length);
            out.write(entry.payload());
        });
    }

    private static byte[] encode(Snapshot taken) {
        byte[] members = Memberships.encode(taken.members());
        return bytes(out -> {
            out.writeLong(taken.index());
            out.writeLong(taken.term());
            out.writeLong(taken.timeMillis());
            out.writeInt(members.length);
            out.write(members);
            out.write(taken.data());
        });
    }

    private static Snapshot decodeSnapshot(byte[] content) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
            long index = in.readLong();
            long term = in.readLong();
            long timeMillis = in.readLong();
            Membership members = Memberships.decode(in.readNBytes(in.readInt()));
            return new Snapshot(index, term, timeMillis, members, in.readAllBytes());
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.SNAPSHOT_DAMAGED, "the snapshot cannot be decoded", e);
        }
    }

    private interface Encoder {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private static byte[] bytes(Encoder encoder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            encoder.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static WagtailcartException damaged(String message) {
        return new WagtailcartException(ResultCode.LOG_DAMAGED, message);
    }
}
