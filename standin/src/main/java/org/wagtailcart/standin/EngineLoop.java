package org.wagtailcart.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.EngineRole;

/** Continuous batching loop: each step generates one token for every sequence in the batch whose prefill is done. */
final class EngineLoop implements AutoCloseable {
    private static final Comparator<Sequence> BY_PRIORITY = Comparator.comparing(sequence -> -sequence.priorityRank());

    /**
     * Work done since the start, and the current load.
     *
     * @param running sequences in the batch
     * @param queued sequences queued for the batch
     * @param promptTokens prompt tokens prefilled
     * @param outputTokens output tokens generated
     * @param stepMillis duration of the latest step
     */
    record Progress(int running, int queued, double promptTokens, long outputTokens, double stepMillis) {}

    private final CostModel cost;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<Sequence> queued = new ArrayList<>();
    private final List<Sequence> running = new ArrayList<>();
    private final Thread thread;
    private EngineRole role;
    private double slowdown = 1;
    private double promptTokens;
    private long outputTokens;
    private double latestStepMillis;
    private boolean closed;

    EngineLoop(CostModel cost, EngineRole role) {
        this.cost = cost;
        this.role = role;
        this.latestStepMillis = cost.stepMillis();
        thread = DaemonThreads.named("engine-loop").newThread(this::run);
        thread.start();
    }

    void submit(Sequence sequence) {
        runLocked(() -> {
            queued.add(sequence);
            queued.sort(BY_PRIORITY);
            changed.signalAll();
        });
    }

    /** Aborts the sequences of a request. */
    void cancel(String requestId) {
        runLocked(() -> abortOf(queued, requestId));
        runLocked(() -> abortOf(running, requestId));
    }

    /** Aborts all sequences and returns their number. */
    int abortAll() {
        lock.lock();
        try {
            int count = queued.size() + running.size();
            queued.forEach(Sequence::abort);
            running.forEach(Sequence::abort);
            queued.clear();
            running.clear();
            return count;
        } finally {
            lock.unlock();
        }
    }

    void setRole(EngineRole next) {
        runLocked(() -> role = next);
    }

    /** Sets the factor on the duration of steps; factors below 1 count as 1. */
    void setSlowdown(double factor) {
        runLocked(() -> slowdown = Math.max(1, factor));
    }

    Progress progress() {
        lock.lock();
        try {
            return new Progress(running.size(), queued.size(), promptTokens, outputTokens, latestStepMillis);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        runLocked(() -> {
            closed = true;
            changed.signalAll();
        });
        abortAll();
    }

    private void run() {
        lock.lock();
        try {
            while (!closed) {
                admit();
                if (running.isEmpty()) {
                    changed.await();
                } else {
                    step();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    private void admit() {
        while (running.size() < cost.maxBatch() && !queued.isEmpty()) {
            running.add(queued.remove(0));
        }
    }

    private void step() throws InterruptedException {
        List<Sequence> prefilling =
                running.stream().filter(Sequence::prefilling).toList();
        List<Sequence> decoding =
                running.stream().filter(sequence -> !sequence.prefilling()).toList();
        double millis = cost.stepMillis(decoding.size(), !prefilling.isEmpty()) * slowdown;
        latestStepMillis = millis;
        awaitStepEnd(millis);
        prefill(prefilling, cost.prefillRate(role) * millis / slowdown / 1000);
        decoding.stream().filter(running::contains).forEach(this::decode);
    }

    /** Waits for the end of the step; the wait releases the lock, so that sequences can be added and aborted. */
    private void awaitStepEnd(double millis) throws InterruptedException {
        long remainingNanos = (long) (millis * 1_000_000);
        while (remainingNanos > 0 && !closed) {
            remainingNanos = changed.awaitNanos(remainingNanos);
        }
    }

    private void prefill(List<Sequence> sequences, double tokens) {
        Optional<Integer> rank = sequences.stream().map(Sequence::priorityRank).max(Comparator.naturalOrder());
        List<Sequence> first = sequences.stream()
                .filter(sequence -> sequence.priorityRank() == rank.orElse(0))
                .toList();
        first.forEach(sequence -> sequence.prefill(tokens / first.size()));
        promptTokens += first.isEmpty() ? 0 : tokens;
    }

    private void decode(Sequence sequence) {
        outputTokens++;
        if (sequence.generateNext()) {
            running.remove(sequence);
        }
    }

    private static void abortOf(List<Sequence> sequences, String requestId) {
        sequences.stream()
                .filter(sequence -> sequence.requestId().equals(requestId))
                .forEach(Sequence::abort);
        sequences.removeIf(sequence -> sequence.requestId().equals(requestId));
    }

    private void runLocked(Runnable action) {
        lock.lock();
        try {
            action.run();
        } finally {
            lock.unlock();
        }
    }
}
