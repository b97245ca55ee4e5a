package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Commands that show and change the settings tree. */
final class TreeCommands {
    private TreeCommands() {}

    /** Request body of an edit. */
    record EditBody(String kind, String branch, String key, String value) {}

    /** Request body of a change of the settings tree. */
    record ApplyBody(String changeId, String operator, long expectedRevision, List<EditBody> edits) {}

    static List<CliCommand> all() {
        return List.of(
                new TreeCommand(),
                new ExportCommand(),
                new ApplyFileCommand(),
                new EditCommand("set", "set", 3),
                new EditCommand("unset", "unset", 2),
                new EditCommand("remove", "remove-branch", 1),
                new EditCommand("move", "move-branch", 2),
                new HistoryCommand(),
                new CompareCommand());
    }

    @Parameters(
            commandDescription = "Shows the own and effective values of a branch and the branch that sets each value")
    private static final class TreeCommand extends CliCommand {
        @Parameter(names = "--branch", description = "Path of the branch")
        private String branch = "/";

        @Parameter(names = "--below", description = "Also shows the branches below it")
        private boolean below;

        @Override
        String name() {
            return "tree";
        }

        @Override
        ExitCode run(CommandContext context) {
            Map<String, String> query = Map.of("branch", branch, "below", String.valueOf(below));
            return context.print(client -> client.get("/v1/tree", query));
        }
    }

    @Parameters(commandDescription = "Prints the settings tree as INI")
    private static final class ExportCommand extends CliCommand {
        @Parameter(names = "--branch", description = "Path of the branch")
        private String branch = "/";

        @Override
        String name() {
            return "export";
        }

        @Override
        ExitCode run(CommandContext context) {
            context.console().result(context.call(client -> client.getText("/v1/tree/ini", Map.of("branch", branch))));
            return ExitCode.OK;
        }
    }

    /** Options of commands that change the tree. */
    private abstract static class TreeChangeCommand extends ChangeCommand {
        @Parameter(
                names = "--expected-revision",
                description = "Revision you saw; the change is refused when another one is in force."
                        + " Default: the current revision")
        private long expectedRevision = -1;

        long expectedRevision(CommandContext context) {
            return context.revisionOrCurrent(expectedRevision);
        }
    }

    @Parameters(commandDescription = "Applies an INI file to the settings tree")
    private static final class ApplyFileCommand extends TreeChangeCommand {
        @Parameter(description = "FILE", required = true)
        private String file = "";

        @Parameter(names = "--replace", description = "Removes keys and branches that the file does not name")
        private boolean replace;

        @Override
        String name() {
            return "apply";
        }

        @Override
        ExitCode run(CommandContext context) {
            byte[] text = CommandContext.readFile(file);
            Map<String, String> query = new TreeMap<>();
            query.put("expected_revision", String.valueOf(expectedRevision(context)));
            query.put("change_id", changeId(context));
            query.put("operator", context.operator());
            query.put("replace", String.valueOf(replace));
            return context.print(client -> client.postText("/v1/tree/ini", query, text));
        }
    }

    @Parameters(
            commandDescription = "Changes one key or branch: set BRANCH KEY VALUE, unset BRANCH KEY,"
                    + " remove BRANCH, move BRANCH NEW-PARENT")
    private static final class EditCommand extends TreeChangeCommand {
        private final String name;
        private final String kind;
        private final int argumentCount;

        @Parameter(description = "BRANCH [KEY [VALUE]] or BRANCH NEW-PARENT", required = true)
        private List<String> arguments = new ArrayList<>();

        EditCommand(String name, String kind, int argumentCount) {
            this.name = name;
            this.kind = kind;
            this.argumentCount = argumentCount;
        }

        @Override
        String name() {
            return name;
        }

        @Override
        ExitCode run(CommandContext context) {
            checkArgumentCount(arguments, argumentCount);
            boolean move = kind.equals("move-branch");
            String key = argumentCount > 1 && !move ? arguments.get(1) : "";
            String value = argumentCount > 2 || move ? arguments.get(argumentCount - 1) : "";
            ApplyBody body = new ApplyBody(
                    changeId(context),
                    context.operator(),
                    expectedRevision(context),
                    List.of(new EditBody(kind, arguments.get(0), key, value)));
            return context.print(client -> client.post("/v1/tree", body));
        }
    }

    @Parameters(commandDescription = "Shows the latest changes, newest first")
    private static final class HistoryCommand extends CliCommand {
        @Parameter(names = "--limit", description = "Number of changes")
        private int limit = 20;

        @Override
        String name() {
            return "history";
        }

        @Override
        ExitCode run(CommandContext context) {
            return context.print(client -> client.get("/v1/history", Map.of("limit", String.valueOf(limit))));
        }
    }

    @Parameters(commandDescription = "Shows the differences between two revisions")
    private static final class CompareCommand extends CliCommand {
        @Parameter(description = "FROM [TO]", required = true)
        private List<String> revisions = new ArrayList<>();

        @Override
        String name() {
            return "compare";
        }

        @Override
        ExitCode run(CommandContext context) {
            if (revisions.size() > 2) {
                throw new CliException(ExitCode.USAGE, "compare needs 1 or 2 arguments, not " + revisions.size());
            }
            Map<String, String> query = new TreeMap<>();
            query.put("from", revisions.get(0));
            revisions.stream().skip(1).forEach(to -> query.put("to", to));
            return context.print(client -> client.get("/v1/compare", query));
        }
    }
}
