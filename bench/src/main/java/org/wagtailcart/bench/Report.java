package org.wagtailcart.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Formats results as JSON or as a Markdown table. */
final class Report {
    private static final String HEAD =
            """
            | scenario | deployment | policy | goodput/s | of informed | offered/s | role changes | refused | failed | batch done | interactive good | amplification | above power | first token p95 ms |
            |---|---|---|---|---|---|---|---|---|---|---|---|---|---|
            """;

    private Report() {}

    static String json(List<Result> results) {
        try {
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(results);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to write the benchmark results as JSON", e);
        }
    }

    static String markdown(List<Result> results) {
        return results.stream().map(result -> row(result, results)).collect(Collectors.joining("\n", HEAD, ""));
    }

    /** Returns the goodput relative to the informed policy in the same scenario and deployment; NaN without one. */
    static double goodputOfInformed(Result result, List<Result> results) {
        double informed = results.stream()
                .filter(other -> other.contender() == Contender.INFORMED
                        && other.scenario() == result.scenario()
                        && other.deployment() == result.deployment())
                .mapToDouble(Result::goodput)
                .findFirst()
                .orElse(Double.NaN);
        return result.goodput() / informed;
    }

    private static String row(Result result, List<Result> results) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.2f | %.3f | %.2f | %d | %d | %d | %.3f | %.3f | %.3f | %.4f | %d |",
                result.scenario().label(),
                result.deployment().label(),
                result.contender().label(),
                result.goodput(),
                goodputOfInformed(result, results),
                result.offered(),
                result.roleChanges(),
                result.refusals(),
                result.failures(),
                result.batchCompletion(),
                result.interactiveGood(),
                result.retryAmplification(),
                result.overPower(),
                result.firstTokenP95Millis());
    }
}
