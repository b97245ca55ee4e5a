package org.wagtailcart.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** SVG bar chart of goodput relative to the informed policy. */
final class Plot {
    private static final List<String> COLOURS = List.of("#1b6ca8", "#b8c4cc", "#8fa3ad", "#d9a441", "#a35d6a");
    private static final int BAR_HEIGHT = 9;
    private static final int LABEL_WIDTH = 220;
    private static final int UNIT_WIDTH = 400;

    private Plot() {}

    static String svg(List<Result> results) {
        List<Contender> shown = Arrays.stream(Contender.values())
                .filter(contender -> contender.baseline() || contender == Contender.WAGTAILCART)
                .toList();
        List<Result> own = results.stream()
                .filter(result -> result.contender() == Contender.WAGTAILCART)
                .toList();
        int rowHeight = BAR_HEIGHT * shown.size() + 8;
        int height = 50 + rowHeight * own.size();
        String legend = IntStream.range(0, shown.size())
                .mapToObj(
                        i -> text(10 + i * 130, 16, COLOURS.get(i), shown.get(i).label()))
                .collect(Collectors.joining());
        String rows = IntStream.range(0, own.size())
                .mapToObj(i -> group(own.get(i), results, shown, 40 + i * rowHeight))
                .collect(Collectors.joining());
        String target = String.format(
                Locale.ROOT,
                "<line x1=\"%1$.0f\" x2=\"%1$.0f\" y1=\"34\" y2=\"%2$d\" stroke=\"#c00\" stroke-dasharray=\"3\"/>%n",
                LABEL_WIDTH + Limits.MIN_GOODPUT_OF_INFORMED * UNIT_WIDTH,
                height - 10);
        return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"" + height
                + "\" font-family=\"sans-serif\" font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
                + legend + rows + target + "</svg>";
    }

    private static String group(Result own, List<Result> results, List<Contender> shown, int y) {
        String label = own.scenario().label() + ", " + own.deployment().label();
        String bars = results.stream()
                .filter(other -> other.scenario() == own.scenario()
                        && other.deployment() == own.deployment()
                        && shown.contains(other.contender()))
                .map(other -> bar(Report.goodputOfInformed(other, results), y, shown.indexOf(other.contender())))
                .collect(Collectors.joining());
        return text(6, y + 24, "#222", label) + bars;
    }

    private static String bar(double ratio, int y, int index) {
        return String.format(
                        Locale.ROOT,
                        "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>%n",
                        LABEL_WIDTH,
                        y + index * BAR_HEIGHT,
                        UNIT_WIDTH * Math.min(1.2, ratio),
                        BAR_HEIGHT - 1,
                        COLOURS.get(index))
                + text(
                        LABEL_WIDTH + (int) (UNIT_WIDTH * Math.min(1.2, ratio)) + 3,
                        y + index * BAR_HEIGHT + 8,
                        "#222",
                        String.format(Locale.ROOT, "%.3f", ratio));
    }

    private static String text(int x, int y, String colour, String text) {
        return "<text x=\"" + x + "\" y=\"" + y + "\" fill=\"" + colour + "\">" + text + "</text>\n";
    }
}
