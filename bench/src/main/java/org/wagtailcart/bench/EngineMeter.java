package org.wagtailcart.bench;

import org.wagtailcart.policy.EngineObservation;

/** Accumulates the work of a simulated engine between two load reports. */
final class EngineMeter {
    private double sinceMillis;
    private double generatingMillis;
    private double hardMillis;
    private double busyMillis;
    private int generatingSteps;
    private long outputTokens;
    private long promptTokens;
    private long arrivedPromptTokens;
    private long uncachedPromptTokens;

    void addStep(double millis, int batchSize, int chunkTokens, boolean hard) {
        busyMillis += millis;
        hardMillis += hard ? millis : 0;
        promptTokens += chunkTokens;
        if (batchSize > 0) {
            generatingMillis += millis;
            generatingSteps++;
            outputTokens += batchSize;
        }
    }

    void addPrompt(int tokens, int uncached) {
        arrivedPromptTokens += tokens;
        uncachedPromptTokens += uncached;
    }

    /** Returns the prompt tokens of the requests started since the last call, and resets the counts. */
    PromptCount takePromptCount() {
        PromptCount count = new PromptCount(arrivedPromptTokens, uncachedPromptTokens);
        arrivedPromptTokens = 0;
        uncachedPromptTokens = 0;
        return count;
    }

    /**
     * Prompt tokens of started requests.
     *
     * @param tokens all prompt tokens
     * @param uncached those not found in the prefix cache
     */
    record PromptCount(long tokens, long uncached) {}

    /**
     * Returns the averages since the last report and resets them.
     *
     * @param error factor on the reported rates, which models measurement noise
     */
    EngineObservation report(FakeEngine engine, int running, int queued, double error, long nowMillis) {
        double seconds = Math.max(1, nowMillis - sinceMillis) / 1_000;
        EngineObservation report = new EngineObservation(
                engine.id,
                engine.role,
                engine.alive(),
                engine.leavingService(),
                running,
                queued,
                error * promptTokens / seconds,
                error * outputTokens / seconds,
                generatingSteps == 0 ? 0 : outputTokens / (double) generatingSteps,
                generatingSteps == 0 ? 0 : error * generatingMillis / generatingSteps,
                hardMillis > 0.5 * busyMillis,
                nowMillis);
        sinceMillis = nowMillis;
        generatingMillis = 0;
        hardMillis = 0;
        busyMillis = 0;
        generatingSteps = 0;
        outputTokens = 0;
        promptTokens = 0;
        return report;
    }
}
