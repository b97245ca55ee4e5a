package org.wagtailcart.bench;

import org.wagtailcart.policy.EngineObservation;

/** Accumulates the work of a simulated engine between two load reports. */
final class EngineMeter {
    private double lastReportMillis;
    private double decodeMillis;
    private double aboveSoftLimitMillis;
    private double busyMillis;
    private int decodeSteps;
    private long outputTokens;
    private long promptTokens;
    private long arrivedPromptTokens;
    private long uncachedPromptTokens;

    void addStep(double millis, int batchSize, int chunkTokens, boolean hard) {
        busyMillis += millis;
        aboveSoftLimitMillis += hard ? millis : 0;
        promptTokens += chunkTokens;
        if (batchSize > 0) {
            decodeMillis += millis;
            decodeSteps++;
            outputTokens += batchSize;
        }
    }

    void addPrompt(int tokens, int uncached) {
        arrivedPromptTokens += tokens;
        uncachedPromptTokens += uncached;
    }

    /** Returns the prompt tokens of the requests started since the last call, and resets the counts. */
    PromptCount getAndResetPromptCount() {
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
    EngineObservation report(SimEngine engine, int running, int queued, double error, long nowMillis) {
        double seconds = Math.max(1, nowMillis - lastReportMillis) / 1_000;
        EngineObservation report = new EngineObservation(
                engine.id,
                engine.role,
                engine.alive(),
                engine.leavingService(),
                running,
                queued,
                error * promptTokens / seconds,
                error * outputTokens / seconds,
                decodeSteps == 0 ? 0 : outputTokens / (double) decodeSteps,
                decodeSteps == 0 ? 0 : error * decodeMillis / decodeSteps,
                aboveSoftLimitMillis > 0.5 * busyMillis,
                nowMillis);
        lastReportMillis = nowMillis;
        decodeMillis = 0;
        aboveSoftLimitMillis = 0;
        busyMillis = 0;
        decodeSteps = 0;
        outputTokens = 0;
        promptTokens = 0;
        return report;
    }
}
