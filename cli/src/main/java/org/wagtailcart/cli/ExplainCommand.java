package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.wagtailcart.common.LogEvent;

/**
 * The {@code explain} command: merges the log events of one request with the state changes that the same processes
 * logged shortly before, from JSON log files alone.
 */
@Parameters(commandDescription = "Shows the decisions about a request from the JSON logs of processes")
final class ExplainCommand extends CliCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Names of the events that report a state change of a process and carry no request id. */
    private static final Set<String> STATE_EVENTS = Set.of(
            "table-installed",
            "list-changed",
            "upstream-lost",
            "upstream-regained",
            "control-lost",
            "control-regained",
            "list-lost",
            "list-regained",
            "readiness-changed");

    /** Time before the first event of the request from which state changes are shown. */
    private static final long STATE_EVENT_WINDOW_MILLIS = 3_000;

    @Parameter(description = "REQUEST-ID FILE...", required = true)
    private List<String> arguments = new ArrayList<>();

    /** A parsed log line. */
    private record LogLine(String process, long timeMillis, JsonNode event) {
        String name() {
            return event.path("event").asText();
        }
    }

    @Override
    String name() {
        return "explain";
    }

    @Override
    ExitCode run(CommandContext context) {
        if (arguments.size() < 2) {
            throw new CliException(ExitCode.USAGE, "explain needs a request id and at least one log file");
        }
        String id = arguments.get(0);
        List<LogLine> lines = arguments.stream()
                .skip(1)
                .flatMap(file -> read(context, file).stream())
                .sorted(Comparator.comparing(LogLine::timeMillis))
                .toList();
        List<LogLine> requestLines = lines.stream()
                .filter(line -> line.event().path("request").asText().equals(id))
                .toList();
        if (requestLines.isEmpty()) {
            throw new CliException(ExitCode.REFUSED, "no log line has the request id " + id);
        }
        context.console()
                .result(Stream.concat(stateEvents(lines, requestLines), requestLines.stream())
                        .sorted(Comparator.comparing(LogLine::timeMillis))
                        .map(ExplainCommand::format)
                        .collect(Collectors.joining("\n")));
        return ExitCode.OK;
    }

    /** Returns the state events of the processes that logged the request, from shortly before it to its last event. */
    private static Stream<LogLine> stateEvents(List<LogLine> lines, List<LogLine> requestLines) {
        Set<String> processes = requestLines.stream().map(LogLine::process).collect(Collectors.toSet());
        long from = requestLines.get(0).timeMillis() - STATE_EVENT_WINDOW_MILLIS;
        long to = requestLines.get(requestLines.size() - 1).timeMillis();
        return lines.stream()
                .filter(line -> STATE_EVENTS.contains(line.name()) && processes.contains(line.process()))
                .filter(line -> line.timeMillis() >= from && line.timeMillis() <= to);
    }

    private static List<LogLine> read(CommandContext context, String file) {
        List<String> texts = new String(CommandContext.readFile(file), StandardCharsets.UTF_8)
                .lines()
                .filter(text -> !text.isBlank())
                .toList();
        String process = String.valueOf(Path.of(file).getFileName());
        List<LogLine> lines = texts.stream()
                .map(text -> parse(process, text))
                .flatMap(Optional::stream)
                .toList();
        int unreadable = texts.size() - lines.size();
        if (unreadable > 0) {
            context.console().error(file + ": skipped " + unreadable + " lines that are not JSON log events");
        }
        return lines;
    }

    /** Parses a line; a log collector may have prefixed a time and the process name to the JSON object. */
    private static Optional<LogLine> parse(String file, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode event = MAPPER.readTree(text.substring(start));
            String prefix = text.substring(0, start).strip();
            String process = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
            return event.path("event").isTextual()
                    ? Optional.of(new LogLine(process, timeMillis(event), event))
                    : Optional.empty();
        } catch (JsonProcessingException | java.time.DateTimeException e) {
            return Optional.empty();
        }
    }

    private static long timeMillis(JsonNode event) {
        return java.time.Instant.parse(event.path("time").asText()).toEpochMilli();
    }

    private static String format(LogLine line) {
        Object[] fields = StreamSupport.stream(
                        ((Iterable<String>) () -> line.event().fieldNames()).spliterator(), false)
                .filter(name -> !Set.of("time", "level", "event", "request").contains(name))
                .flatMap(name -> Stream.<Object>of(name, line.event().path(name).asText()))
                .toArray();
        return line.event().path("time").asText() + " " + line.process() + " " + LogEvent.of(line.name(), fields);
    }
}
