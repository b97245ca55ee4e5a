package org.wagtailcart.sidecar.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Load that an engine reports.
 *
 * @param batchSize sequences in the engine's batch
 * @param promptTokensPerSecond rate of prefilled prompt tokens
 * @param outputTokensPerSecond rate of decoded output tokens
 * @param tokenIntervalMillis interval between tokens of a stream
 */
public record EngineLoad(
        @JsonProperty("batch_size") double batchSize,
        @JsonProperty("prompt_tokens_per_second") double promptTokensPerSecond,
        @JsonProperty("output_tokens_per_second") double outputTokensPerSecond,
        @JsonProperty("token_interval_millis") double tokenIntervalMillis) {
    /** Load of an upstream that does not report any. */
    public static final EngineLoad NONE = new EngineLoad(0, 0, 0, 0);
}
