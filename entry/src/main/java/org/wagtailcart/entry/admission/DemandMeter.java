package org.wagtailcart.entry.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.entry.request.CompletionRequest;

/** Meter of the tokens that callers request from each model, served or not, as input of role planning. Thread safe. */
public final class DemandMeter {
    private final Map<String, TokenCounts> byModel = new HashMap<>();
    private long windowStartMillis;

    private static final class TokenCounts {
        private double prompt;
        private double output;
    }

    /** Creates a meter that counts from the given monotonic time. */
    public DemandMeter(long nowMillis) {
        windowStartMillis = nowMillis;
    }

    /** Records the estimated prompt tokens and the maximum output tokens of a requested completion. */
    public synchronized void onRequest(CompletionRequest completion) {
        TokenCounts tokens = byModel.computeIfAbsent(completion.model(), unused -> new TokenCounts());
        tokens.prompt += completion.estimatedPromptTokens();
        tokens.output += completion.maxOutputTokens();
    }

    /** Returns the demand of each model in tokens per second since the previous call. */
    public synchronized List<LoadReport> collectLoadReports(long nowMillis) {
        double seconds = Math.max(1, nowMillis - windowStartMillis) / 1_000.0;
        windowStartMillis = nowMillis;
        List<LoadReport> reports = byModel.entrySet().stream()
                .map(model -> report(model.getKey(), model.getValue(), seconds))
                .toList();
        // A model without new requests is reported once with zero demand and then removed.
        byModel.values().removeIf(tokens -> tokens.prompt == 0 && tokens.output == 0);
        byModel.values().forEach(tokens -> {
            tokens.prompt = 0;
            tokens.output = 0;
        });
        return reports;
    }

    private static LoadReport report(String model, TokenCounts tokens, double seconds) {
        return new LoadReport(model, true, 0, 0, tokens.prompt / seconds, tokens.output / seconds, 0, 0, false);
    }
}
