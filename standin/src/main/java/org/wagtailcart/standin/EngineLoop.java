package org.wagtailcart.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.EngineRole;

/** Continuous batching: in each step every sequence with a processed prompt gets one token. */
final class EngineLoop implements AutoCloseable {
    private static final Comparator<Sequence> FIRST = Comparator.comparing(sequence -> -sequence.priorityRank());

    /**
     * Work done since the start, and work at hand.
     *
     * @param running sequences in the batch
     * @param queued sequences that wait for the batch
     * @param promptTokens prompt tokens processed
     * @param outputTokens tokens generated
     * @param stepMillis duration of the latest step
     */
    record Progress(int running, int queued, double promptTokens, long outputTokens, double stepMillis) {}

    private final CostModel cost;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<Sequence> waiting = new ArrayList<>();
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
        locked(() -> {
            waiting.add(sequence);
            waiting.sort(FIRST);
            changed.signalAll();
        });
    }

    void cancel(String requestId) {
        locked(() -> cutWhere(waiting, requestId));
        locked(() -> cutWhere(running, requestId));
    }

    /** Cuts all sequences; returns how many there were. */
    int cutAll() {
        lock.lock();
        try {
            int count = waiting.size() + running.size();
            waiting.forEach(Sequence::cut);
            running.forEach(Sequence::cut);
            waiting.clear();
            running.clear();
            return count;
        } finally {
            lock.unlock();
        }
    }

    void setRole(EngineRole next) {
        locked(() -> role = next);
    }

    void setSlowdown(double factor) {
        locked(() -> slowdown = Math.max(1, factor));
    }

    Progress progress() {
        lock.lock();
        try {
            return new Progress(running.size(), waiting.size(), promptTokens, outputTokens, latestStepMillis);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        locked(() -> {
            closed = true;
            changed.signalAll();
        });
        cutAll();
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
        while (running.size() < cost.maxBatch() && !waiting.isEmpty()) {
            running.add(waiting.remove(0));
        }
    }

    private void step() throws InterruptedException {
        List<Sequence> prefilling =
                running.stream().filter(Sequence::prefilling).toList();
        List<Sequence> decoding =
                running.stream().filter(sequence -> !sequence.prefilling()).toList();
        double millis = cost.stepMillis(decoding.size(), !prefilling.isEmpty()) * slowdown;
        latestStepMillis = millis;
        pause(millis);
        prefill(prefilling, cost.prefillRate(role) * millis / slowdown / 1000);
        decoding.stream().filter(running::contains).forEach(this::decode);
    }

    /** Waits without the lock, so that requests may come and go during the step. */
    private void pause(double millis) throws InterruptedException {
        long left = (long) (millis * 1_000_000);
        while (left > 0 && !closed) {
            left = changed.awaitNanos(left);
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
        if (sequence.step()) {
            running.remove(sequence);
        }
    }

    private static void cutWhere(List<Sequence> sequences, String requestId) {
        sequences.stream()
                .filter(sequence -> sequence.requestId().equals(requestId))
                .forEach(Sequence::cut);
        sequences.removeIf(sequence -> sequence.requestId().equals(requestId));
    }

    private void locked(Runnable action) {
        lock.lock();
        try {
            action.run();
        } finally {
            lock.unlock();
        }
    }
}
