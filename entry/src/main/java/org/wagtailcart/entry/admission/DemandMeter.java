package org.wagtailcart.entry.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.control.client.LoadReport;
import org.wagtailcart.entry.request.Completion;

/** Counts the work that callers ask for, served or not, for the planner of roles. Thread safe. */
public final class DemandMeter {
    private final Map<String, Tokens> byModel = new HashMap<>();
    private long sinceMillis;

    private static final class Tokens {
        private double prompt;
        private double output;
    }

    /** Creates a meter that counts from the given monotonic time. */
    public DemandMeter(long nowMillis) {
        sinceMillis = nowMillis;
    }

    /** Notes a completion that a caller asks for. */
    public synchronized void onRequest(Completion completion) {
        Tokens tokens = byModel.computeIfAbsent(completion.model(), unused -> new Tokens());
        tokens.prompt += completion.promptTokens();
        tokens.output += completion.outputTokens();
    }

    /** Returns the demand of each model since the last call. */
    public synchronized List<LoadReport> reports(long nowMillis) {
        double seconds = Math.max(1, nowMillis - sinceMillis) / 1_000.0;
        sinceMillis = nowMillis;
        List<LoadReport> reports = byModel.entrySet().stream()
                .map(model -> report(model.getKey(), model.getValue(), seconds))
                .toList();
        // A model that nobody asks for any more is reported once more with zero and then forgotten.
        byModel.values().removeIf(tokens -> tokens.prompt == 0 && tokens.output == 0);
        byModel.values().forEach(tokens -> {
            tokens.prompt = 0;
            tokens.output = 0;
        });
        return reports;
    }

    private static LoadReport report(String model, Tokens tokens, double seconds) {
        return new LoadReport(model, true, 0, 0, tokens.prompt / seconds, tokens.output / seconds, 0, 0, false);
    }
}
