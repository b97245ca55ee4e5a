package org.wagtailcart.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.WagtailcartException;

/** Entry point of the {@code wagtailcart} command line: runs one command and maps its failures to exit codes. */
public final class Wagtailcart {
    private final Console console;

    /** Creates the program with a console for its output. */
    public Wagtailcart(Console console) {
        this.console = console;
    }

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new Wagtailcart(Console.standard()).run(arguments).number());
    }

    /** Runs one command and returns its exit code; failures are printed to the error stream. */
    public ExitCode run(String... arguments) {
        GlobalOptions options = new GlobalOptions();
        Map<String, CliCommand> commands = commands();
        JCommander parser = parser(options, commands);
        try {
            parser.parse(clearDefaultServers(options, arguments));
            CliCommand command = commands.get(parsedCommand(parser));
            if (options.help || command == null || command.helpRequested()) {
                return usage(parser, command, options.help);
            }
            return command.run(new CommandContext(options, console));
        } catch (ParameterException e) {
            console.error(e.getMessage() + "; --help shows the arguments");
            return ExitCode.USAGE;
        } catch (CliException e) {
            console.error(String.valueOf(e.getMessage()));
            return e.exitCode();
        } catch (WagtailcartException e) {
            console.error("code " + e.code().number() + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static String parsedCommand(JCommander parser) {
        @Nullable String name = parser.getParsedCommand();
        return name == null ? "" : name;
    }

    /** Clears the default servers when the arguments name a server, as the parser appends to a default list. */
    private static String[] clearDefaultServers(GlobalOptions options, String[] arguments) {
        if (Arrays.stream(arguments).anyMatch(argument -> argument.startsWith("--server"))) {
            options.servers.clear();
        }
        return arguments;
    }

    private static Map<String, CliCommand> commands() {
        Map<String, CliCommand> commands = new LinkedHashMap<>();
        Stream.of(TreeCommands.all(), FleetCommands.all(), CheckCommands.all())
                .flatMap(List::stream)
                .forEach(command -> commands.put(command.name(), command));
        return commands;
    }

    private static JCommander parser(GlobalOptions options, Map<String, CliCommand> commands) {
        JCommander parser = JCommander.newBuilder()
                .programName("wagtailcart")
                .addObject(options)
                .build();
        commands.forEach(parser::addCommand);
        return parser;
    }

    private ExitCode usage(JCommander parser, @Nullable CliCommand command, boolean requested) {
        StringBuilder text = new StringBuilder();
        if (command == null) {
            parser.getUsageFormatter().usage(text);
        } else {
            parser.getUsageFormatter().usage(command.name(), text);
        }
        if (command == null && !requested) {
            console.error(text.toString());
            return ExitCode.USAGE;
        }
        console.result(text.toString());
        return ExitCode.OK;
    }
}
