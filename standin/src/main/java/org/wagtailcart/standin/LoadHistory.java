package org.wagtailcart.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Recent load samples of a stand-in engine, from which it reports one of a given age. */
final class LoadHistory {
    private static final int MAX_SAMPLES = 200;

    /** Load sample as {@code /engine/load} reports it. */
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

    /** Records a sample; its rates are averages since the previous one. */
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
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the latest sample at or before the given time, or an idle one when there is none. */
    synchronized Load latestAtOrBefore(long millis) {
        Load latestBefore = new Load(millis, 0, 0, 0, 0, 0, 0, false, 0);
        for (Load load : samples) {
            latestBefore = load.atMillis() <= millis ? load : latestBefore;
        }
        return latestBefore;
    }
}
