package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Commands for upstreams, control members and processes. */
final class FleetCommands {
    private FleetCommands() {}

    /** Request body of a lifecycle change. */
    record LifecycleBody(String changeId, String operator, String lifecycle, String replacementId) {}

    /** Request body of an order. */
    record OrderBody(
            String changeId,
            @Nullable String role,
            @Nullable String model,
            @Nullable String adapter,
            @Nullable String version,
            long expectedOrderNumber) {}

    /** Request body of a membership change. */
    record MemberBody(String kind, String memberId, @Nullable Long incarnation, @Nullable String address) {}

    static List<CliCommand> all() {
        return List.of(
                new ShowCommand("upstreams"),
                new ShowCommand("members"),
                new ShowCommand("status"),
                new ShowCommand("dump"),
                new ShowCommand("metrics"),
                new LifecycleCommand("drain", "draining", 1),
                new LifecycleCommand("resume", "active", 1),
                new LifecycleCommand("replace", "replaced", 2),
                new LifecycleCommand("withdraw", "withdrawn", 1),
                new OrderCommand(),
                new MemberCommand("add-learner", "add-learner", 3),
                new MemberCommand("promote", "promote", 1),
                new MemberCommand("remove-member", "remove", 1),
                new WaitCommand());
    }

    @Parameters(commandDescription = "Shows the upstreams, members, status, dump or metrics of a control member")
    private static final class ShowCommand extends CliCommand {
        private final String name;

        ShowCommand(String name) {
            this.name = name;
        }

        @Override
        String name() {
            return name;
        }

        @Override
        ExitCode run(CommandContext context) {
            return context.print(client -> client.get("/v1/" + name, Map.of()));
        }
    }

    @Parameters(
            commandDescription = "Changes the lifecycle of an upstream: drain ID, resume ID, withdraw ID,"
                    + " replace ID REPLACEMENT-ID")
    private static final class LifecycleCommand extends ChangeCommand {
        private final String name;
        private final String lifecycle;
        private final int argumentCount;

        @Parameter(description = "ID [REPLACEMENT-ID]", required = true)
        private List<String> arguments = new ArrayList<>();

        LifecycleCommand(String name, String lifecycle, int argumentCount) {
            this.name = name;
            this.lifecycle = lifecycle;
            this.argumentCount = argumentCount;
        }

        @Override
        String name() {
            return name;
        }

        @Override
        ExitCode run(CommandContext context) {
            checkArgumentCount(arguments, argumentCount);
            String id = arguments.get(0);
            String replacement = argumentCount > 1 ? arguments.get(1) : "";
            LifecycleBody body = new LifecycleBody(changeId(context), context.operator(), lifecycle, replacement);
            return context.print(client -> client.post("/v1/upstreams/" + id + "/lifecycle", body));
        }
    }

    @Parameters(commandDescription = "Orders an engine to switch to a role, model, adapter or version")
    private static final class OrderCommand extends CliCommand {
        @Parameter(description = "ID", required = true)
        private String id = "";

        @Parameter(names = "--role", description = "prefill, decode or mixed")
        private @Nullable String role;

        @Parameter(names = "--model", description = "Model name")
        private @Nullable String model;

        @Parameter(names = "--adapter", description = "Adapter name, empty for none")
        private @Nullable String adapter;

        @Parameter(names = "--version", description = "Weight version")
        private @Nullable String version;

        @Parameter(
                names = "--expected-order-number",
                description = "Latest order number you saw; the order is refused when there is a newer one."
                        + " Default: the current order number")
        private long expectedOrderNumber = -1;

        @Parameter(
                names = "--change-id",
                description = "Id of the order; pass the id of the first attempt to repeat an order")
        private String changeId = "";

        @Override
        String name() {
            return "order";
        }

        @Override
        ExitCode run(CommandContext context) {
            String path = "/v1/upstreams/" + id;
            long expected = expectedOrderNumber >= 0
                    ? expectedOrderNumber
                    : context.call(client -> client.get(path, Map.of()))
                            .path("order_number")
                            .asLong();
            OrderBody body = new OrderBody(context.changeIdOrNew(changeId), role, model, adapter, version, expected);
            return context.print(client -> client.post(path + "/order", body));
        }
    }

    @Parameters(
            commandDescription = "Changes the membership of the control group: add-learner ID INCARNATION IP:PORT,"
                    + " promote ID, remove-member ID")
    private static final class MemberCommand extends CliCommand {
        private final String name;
        private final String kind;
        private final int argumentCount;

        @Parameter(description = "ID [INCARNATION IP:PORT]", required = true)
        private List<String> arguments = new ArrayList<>();

        MemberCommand(String name, String kind, int argumentCount) {
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
            String id = arguments.get(0);
            MemberBody body = argumentCount == 1
                    ? new MemberBody(kind, id, null, null)
                    : new MemberBody(kind, id, incarnation(arguments.get(1)), arguments.get(2));
            return context.print(client -> client.post("/v1/members", body));
        }

        private static long incarnation(String text) {
            try {
                return Long.parseLong(text);
            } catch (NumberFormatException e) {
                throw new CliException(ExitCode.USAGE, "incarnation \"" + text + "\" is not an integer");
            }
        }
    }

    @Parameters(commandDescription = "Waits until a revision is in force in every process that may serve")
    private static final class WaitCommand extends CliCommand {
        @Parameter(description = "REVISION", required = true)
        private String revision = "";

        @Parameter(names = "--limit-millis", description = "Longest time to wait, in milliseconds")
        private long limitMillis = 30_000;

        @Override
        String name() {
            return "wait";
        }

        @Override
        ExitCode run(CommandContext context) {
            Map<String, String> query = Map.of("revision", revision, "limit_millis", String.valueOf(limitMillis));
            JsonNode response = context.call(client -> client.get("/v1/wait", query));
            context.print(response);
            return response.path("in_force").asBoolean() ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
        }
    }
}
