package org.wagtailcart.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/** Formats a JSON response as text: one line per field, lists of objects as tables. */
final class TextFormatter {
    private TextFormatter() {}

    static String format(JsonNode node) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            JsonNode value = field.getValue();
            if (isTable(value)) {
                text.append(field.getKey()).append(":\n").append(table(value));
            } else {
                text.append(field.getKey()).append(": ").append(cell(value)).append('\n');
            }
        }
        return text.toString();
    }

    private static boolean isTable(JsonNode value) {
        return value.isArray() && !value.isEmpty() && value.get(0).isObject();
    }

    private static String table(JsonNode rows) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        List<List<String>> lines = new ArrayList<>();
        lines.add(List.copyOf(columns));
        rows.forEach(row ->
                lines.add(columns.stream().map(column -> cell(row.path(column))).toList()));
        int[] widths = IntStream.range(0, columns.size())
                .map(column -> lines.stream()
                        .mapToInt(line -> line.get(column).length())
                        .max()
                        .orElse(0))
                .toArray();
        return lines.stream().map(line -> line(line, widths)).collect(Collectors.joining());
    }

    private static String line(List<String> cells, int[] widths) {
        return IntStream.range(0, cells.size())
                        .mapToObj(column -> String.format("%-" + Math.max(1, widths[column]) + "s", cells.get(column)))
                        .collect(Collectors.joining("  ", "  ", ""))
                        .stripTrailing()
                + '\n';
    }

    private static String cell(JsonNode value) {
        if (value.isObject()) {
            return value.properties().stream()
                    .map(field -> field.getKey() + "=" + cell(field.getValue()))
                    .collect(Collectors.joining(" "));
        }
        if (value.isArray()) {
            return StreamSupport.stream(value.spliterator(), false)
                    .map(TextFormatter::cell)
                    .collect(Collectors.joining("; "));
        }
        return value.isNull() || value.isMissingNode() ? "-" : value.asText();
    }
}
