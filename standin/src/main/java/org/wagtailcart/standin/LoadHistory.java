package org.wagtailcart.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Load samples of an engine; readers get an old one. */
final class LoadHistory {
    private static final int SAMPLES_KEPT = 200;

    /** Load that an engine reports. */
    record Load(
            long atMillis,
            int running,
            int queued,
            double batchSize,
            double promptTokensPerSecond,
            double outputTokensPerSecond,
            double tokenIntervalMillis,
            boolean hard,
            int cacheTokens) {}

    private final Deque<Load> samples = new ArrayDeque<>();
    private EngineLoop.Progress latest = new EngineLoop.Progress(0, 0, 0, 0, 0);
    private long latestMillis;

    synchronized void sample(long nowMillis, EngineLoop.Progress progress, boolean hard, int cacheTokens) {
        double seconds = Math.max(0.001, (nowMillis - latestMillis) / 1000.0);
        samples.addLast(new Load(
                nowMillis,
                progress.running(),
                progress.queued(),
                progress.running(),
                (progress.promptTokens() - latest.promptTokens()) / seconds,
                (progress.outputTokens() - latest.outputTokens()) / seconds,
                progress.stepMillis(),
                hard,
                cacheTokens));
        latest = progress;
        latestMillis = nowMillis;
        if (samples.size() > SAMPLES_KEPT) {
            samples.removeFirst();
        }
    }

    /** Returns the latest load at or before the given time. */
    synchronized Load before(long millis) {
        Load found = new Load(millis, 0, 0, 0, 0, 0, 0, false, 0);
        for (Load load : samples) {
            found = load.atMillis() <= millis ? load : found;
        }
        return found;
    }
}
