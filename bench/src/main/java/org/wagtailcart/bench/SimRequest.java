package org.wagtailcart.bench;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wagtailcart.policy.routing.RoutingRequest;

/** A caller's request with its progress and outcome. */
final class SimRequest {
    final int id;
    final RequestKind kind;
    final double arrivalMillis;
    final int promptTokens;
    final int outputTokens;
    final List<Long> prefixHashes;
    final Set<String> triedUpstreams = new HashSet<>();
    int generatedTokens;
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

    /**
     * Returns the latest start that leaves time for a request of mean length: twice the prefill time, and the output at
     * {@link Limits#MAX_TOKEN_INTERVAL_MILLIS}.
     */
    long startByMillis() {
        double prompt = 2 * promptTokens / CostModel.PREFILL_TOKENS_PER_MILLI;
        return deadlineMillis() - (long) prompt - Limits.MAX_TOKEN_INTERVAL_MILLIS * kind.outputTokens;
    }

    /** Returns the request as an entry routes it; the output length is the mean of its kind, not the actual one. */
    RoutingRequest routing() {
        int expected = Math.max(1, kind.outputTokens - generatedTokens);
        return new RoutingRequest(
                pool(),
                kind.priority,
                promptTokens + generatedTokens,
                kind.forService() ? 1 : expected,
                prefixHashes,
                deadlineMillis(),
                Set.copyOf(triedUpstreams));
    }

    void recordToken(double atMillis) {
        if (generatedTokens == 0) {
            firstTokenMillis = atMillis;
        } else if (atMillis - lastTokenMillis > Limits.MAX_TOKEN_INTERVAL_MILLIS) {
            lateIntervals++;
        }
        lastTokenMillis = atMillis;
        generatedTokens++;
    }

    boolean complete() {
        return !Double.isNaN(finishedMillis);
    }

    /** Returns whether the response is complete and within the limits of its kind. */
    boolean good() {
        if (!complete()) {
            return false;
        }
        return switch (kind) {
            case BATCH -> finishedMillis - arrivalMillis <= RequestKind.BATCH_DEADLINE_MILLIS;
            case LOOKUP, BOOKING -> finishedMillis - arrivalMillis <= Limits.MAX_FIRST_TOKEN_MILLIS;
            case COUNTER, DRAFT, MANUAL ->
                firstTokenMillis - arrivalMillis <= Limits.MAX_FIRST_TOKEN_MILLIS
                        && lateIntervals <= Limits.MAX_LATE_INTERVAL_SHARE * outputTokens;
        };
    }
}
