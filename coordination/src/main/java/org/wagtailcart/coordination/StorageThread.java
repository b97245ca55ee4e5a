package org.wagtailcart.coordination;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** The one thread that waits for the disk. Everything queued while a sync runs shares the next sync. */
final class StorageThread implements AutoCloseable {
    /** Work of the thread. */
    private sealed interface Job {}

    private record StopJob() implements Job {}

    /**
     * A store and the messages that wait for it and all earlier ones.
     *
     * @param store what to store, null when only earlier stores are waited for
     * @param messages messages to send then
     */
    record StoreJob(NodeOutput.@Nullable Store store, List<RaftMessage> messages) implements Job {}

    /**
     * A snapshot of the state machine and the log that remains.
     *
     * @param snapshot to store
     * @param baseIndex index before the first entry kept
     * @param baseTerm term of that index
     * @param entries entries kept
     */
    record SnapshotJob(Snapshot snapshot, long baseIndex, long baseTerm, List<LogEntry> entries) implements Job {}

    /** Receives results on the storage thread. */
    interface Listener {
        void onStored(long storeNumber, List<RaftMessage> messages);

        void onSnapshotStored(Snapshot snapshot);

        void onStorageFailed(RuntimeException cause);
    }

    private final RaftStorage storage;
    private final Listener listener;
    private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final ExecutorService executor;
    private final Timer syncTimer;
    private long storedNumber;

    StorageThread(RaftStorage storage, Listener listener, MetricRegistry registry) {
        this.storage = storage;
        this.listener = listener;
        this.syncTimer = registry.timer("coordination.store");
        executor = Executors.newSingleThreadExecutor(Threads.named("control-storage"));
    }

    void start() {
        executor.execute(this::run);
    }

    void submit(StoreJob job) {
        jobs.add(job);
    }

    void submit(SnapshotJob job) {
        jobs.add(job);
    }

    /** Finishes the queued jobs and closes the files. */
    @Override
    public void close() {
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
                perform(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            // After a failed sync the kernel may have dropped the pages, so nothing more may be acknowledged.
            listener.onStorageFailed(e);
        }
    }

    private void perform(List<Job> batch) {
        List<StoreJob> stores = new ArrayList<>();
        for (Job job : batch) {
            if (job instanceof StoreJob store) {
                stores.add(store);
            } else if (job instanceof SnapshotJob taken) {
                flush(stores);
                stores = new ArrayList<>();
                storage.saveSnapshot(taken.snapshot(), taken.baseIndex(), taken.baseTerm(), taken.entries());
                listener.onSnapshotStored(taken.snapshot());
            }
        }
        flush(stores);
    }

    private void flush(List<StoreJob> jobsToStore) {
        if (jobsToStore.isEmpty()) {
            return;
        }
        List<NodeOutput.Store> stores = new ArrayList<>();
        jobsToStore.stream()
                .map(StoreJob::store)
                .filter(Objects::nonNull)
                .forEach(store -> stores.add(Objects.requireNonNull(store)));
        if (!stores.isEmpty()) {
            syncTimer.time(() -> storage.store(stores));
            storedNumber = stores.get(stores.size() - 1).number();
        }
        List<RaftMessage> messages =
                jobsToStore.stream().flatMap(job -> job.messages().stream()).toList();
        listener.onStored(storedNumber, messages);
    }
}
