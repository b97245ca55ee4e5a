package org.wagtailcart.bench;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wagtailcart.policy.routing.RoutingRequest;

/** A caller's request and what became of it. */
final class SimRequest {
    final int id;
    final RequestKind kind;
    final double arrivalMillis;
    final int promptTokens;
    final int outputTokens;
    final List<Long> prefixHashes;
    final Set<String> tried = new HashSet<>();
    int generated;
    int lateIntervals;
    int attempts;
    double firstTokenMillis = Double.NaN;
    double lastTokenMillis = Double.NaN;
    double finishedMillis = Double.NaN;
    boolean refused;
    boolean failed;

    SimRequest(Arrival arrival) {
        this.id = arrival.id();
        this.kind = arrival.kind();
        this.arrivalMillis = arrival.atMillis();
        this.promptTokens = arrival.promptTokens();
        this.outputTokens = arrival.outputTokens();
        this.prefixHashes = arrival.prefixHashes();
    }

    String pool() {
        return kind.forService() ? "service" : "engine";
    }

    long deadlineMillis() {
        return (long) arrivalMillis + kind.limitMillis(kind.outputTokens);
    }

    /** Returns the latest start that leaves time for the mean run: the prompt, and the output at the limit interval. */
    long startByMillis() {
        double prompt = 2 * promptTokens / CostModel.PREFILL_TOKENS_PER_MILLI;
        return deadlineMillis() - (long) prompt - Limits.TOKEN_INTERVAL_MILLIS * kind.outputTokens;
    }

    /** Returns what an entry knows of the request: of the output only the mean of its kind. */
    RoutingRequest routing() {
        int expected = Math.max(1, kind.outputTokens - generated);
        return new RoutingRequest(
                pool(),
                kind.priority,
                promptTokens + generated,
                kind.forService() ? 1 : expected,
                prefixHashes,
                deadlineMillis(),
                Set.copyOf(tried));
    }

    void noteToken(double atMillis) {
        if (generated == 0) {
            firstTokenMillis = atMillis;
        } else if (atMillis - lastTokenMillis > Limits.TOKEN_INTERVAL_MILLIS) {
            lateIntervals++;
        }
        lastTokenMillis = atMillis;
        generated++;
    }

    boolean complete() {
        return !Double.isNaN(finishedMillis);
    }

    boolean good() {
        if (!complete()) {
            return false;
        }
        return switch (kind) {
            case BATCH -> finishedMillis - arrivalMillis <= RequestKind.BATCH_DEADLINE_MILLIS;
            case LOOKUP, BOOKING -> finishedMillis - arrivalMillis <= Limits.FIRST_TOKEN_MILLIS;
            case COUNTER, DRAFT, MANUAL ->
                firstTokenMillis - arrivalMillis <= Limits.FIRST_TOKEN_MILLIS
                        && lateIntervals <= Limits.LATE_INTERVALS * outputTokens;
        };
    }
}
