package org.wagtailcart.coordination;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Thread for the disk writes of a member, with group commit: writes queued while a sync runs share the next sync. */
final class StorageThread implements AutoCloseable {
    private static final Logger LOG = System.getLogger(StorageThread.class.getName());
    private static final long IDLE = Long.MAX_VALUE;
    private static final long RETRY_INTERVAL_MILLIS = 100;

    /** Queued work of the thread. */
    private sealed interface Job {}

    private record StopJob() implements Job {}

    /**
     * A write, and messages that may be sent once it and all earlier writes are durable.
     *
     * @param write what to write, null when the messages depend on earlier writes only
     * @param messages messages to send afterwards
     */
    record WriteJob(NodeOutput.@Nullable StorageWrite write, List<RaftMessage> messages) implements Job {}

    /**
     * A snapshot of the state machine and the log retained after it.
     *
     * @param snapshot snapshot to write
     * @param baseIndex index before the first retained entry
     * @param baseTerm term at that index
     * @param entries retained entries
     */
    record SnapshotJob(Snapshot snapshot, long baseIndex, long baseTerm, List<LogEntry> entries) implements Job {}

    /** Receives the results; called on the storage thread. */
    interface Listener {
        void onDurable(long writeNumber, List<RaftMessage> messages);

        void onSnapshotDurable(Snapshot snapshot);

        /** Called when a snapshot could not be written; the log still has everything that it covers. */
        void onSnapshotFailed();

        void onStorageFailed(RuntimeException cause);
    }

    private final RaftStorage storage;
    private final Listener listener;
    private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final ExecutorService executor;
    private final Timer syncTimer;
    private final MillisClock clock = MillisClock.monotonic();
    private volatile long busySinceMillis = IDLE;
    private volatile boolean stopping;
    private long durableWriteNumber;

    StorageThread(RaftStorage storage, Listener listener, MetricRegistry registry) {
        this.storage = storage;
        this.listener = listener;
        this.syncTimer = registry.timer("coordination.store");
        executor = Executors.newSingleThreadExecutor(DaemonThreads.named("control-storage"));
    }

    void start() {
        executor.execute(this::run);
    }

    void submit(WriteJob job) {
        jobs.add(job);
    }

    void submit(SnapshotJob job) {
        jobs.add(job);
    }

    /** Returns for how long the current jobs have been in progress, 0 when the thread is idle. */
    long busyMillis(long nowMillis) {
        long since = busySinceMillis;
        return since == IDLE ? 0 : nowMillis - since;
    }

    /** Finishes the queued jobs and closes the files. */
    @Override
    public void close() {
        stopping = true;
        jobs.add(new StopJob());
        executor.shutdown();
        try {
            executor.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        storage.close();
    }

    private void run() {
        List<Job> batch = new ArrayList<>();
        try {
            while (!batch.contains(new StopJob())) {
                batch.clear();
                batch.add(jobs.take());
                jobs.drainTo(batch);
                busySinceMillis = clock.nowMillis();
                perform(batch);
                busySinceMillis = IDLE;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            // After a failed sync the kernel may have dropped dirty pages, so no later write may be acknowledged.
            listener.onStorageFailed(e);
        }
    }

    private void perform(List<Job> batch) throws InterruptedException {
        List<WriteJob> writeJobs = new ArrayList<>();
        for (Job job : batch) {
            if (job instanceof WriteJob writeJob) {
                writeJobs.add(writeJob);
            } else if (job instanceof SnapshotJob taken) {
                flush(writeJobs);
                writeJobs = new ArrayList<>();
                saveSnapshot(taken);
            }
        }
        flush(writeJobs);
    }

    /** Tries once to write a snapshot. A disk that has no room for it may still have room for the log. */
    private void saveSnapshot(SnapshotJob taken) {
        try {
            storage.saveSnapshot(taken.snapshot(), taken.baseIndex(), taken.baseTerm(), taken.entries());
            listener.onSnapshotDurable(taken.snapshot());
        } catch (WagtailcartException e) {
            if (e.code() != ResultCode.STORAGE_FAILED) {
                throw e;
            }
            LOG.log(Level.ERROR, LogEvent.of("snapshot-failed", "code", e.code().number(), "reason", e.getMessage()));
            listener.onSnapshotFailed();
        }
    }

    /** Retries a write that fails, as on a full disk; nothing is acknowledged before it succeeds. */
    private void retryUntilWritten(Runnable write) throws InterruptedException {
        boolean failing = false;
        while (true) {
            try {
                write.run();
                if (failing) {
                    LOG.log(Level.INFO, LogEvent.of("disk-regained"));
                }
                return;
            } catch (WagtailcartException e) {
                if (e.code() != ResultCode.STORAGE_FAILED || stopping) {
                    throw e;
                }
                if (!failing) {
                    failing = true;
                    LOG.log(
                            Level.ERROR,
                            LogEvent.of("disk-lost", "code", e.code().number(), "reason", e.getMessage()));
                }
                TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
            }
        }
    }

    private void flush(List<WriteJob> writeJobs) throws InterruptedException {
        if (writeJobs.isEmpty()) {
            return;
        }
        List<NodeOutput.StorageWrite> writes = new ArrayList<>();
        writeJobs.stream()
                .map(WriteJob::write)
                .filter(Objects::nonNull)
                .forEach(write -> writes.add(Objects.requireNonNull(write)));
        if (!writes.isEmpty()) {
            retryUntilWritten(() -> syncTimer.time(() -> storage.write(writes)));
            durableWriteNumber = writes.get(writes.size() - 1).number();
        }
        List<RaftMessage> messages =
                writeJobs.stream().flatMap(job -> job.messages().stream()).toList();
        listener.onDurable(durableWriteNumber, messages);
    }
}
