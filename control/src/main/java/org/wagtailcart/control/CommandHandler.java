package org.wagtailcart.control;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Causes;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.CommandError;
import org.wagtailcart.control.client.CommandReply;
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.client.LeaderHint;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.coordination.ReplicatedLog;
import org.wagtailcart.once.LookupKey;
import org.wagtailcart.routes.ReadRoutes;
import org.wagtailcart.wire.MessageCodec;

/** Runs commands and linearizable queries on the leader; on other members the result is a {@link LeaderHint}. */
final class CommandHandler {
    // Leaves space for the envelope in the 4 MiB frame that replicates a log entry.
    static final int MAX_COMMAND_BYTES = 3 << 20;

    private final ReplicatedLog log;
    private final ControlState state;
    private final MessageCodec codec;

    CommandHandler(ReplicatedLog log, ControlState state, MessageCodec codec) {
        this.log = log;
        this.state = state;
        this.codec = codec;
    }

    /**
     * Runs a command or query received from a peer and returns the encoded result. Failures while it runs become a
     * {@link CommandError} in the reply.
     *
     * @throws WagtailcartException with {@link ResultCode#PAYLOAD_TOO_LARGE} or {@link ResultCode#INVALID_ARGUMENT}
     *     when the command cannot be accepted
     */
    CompletableFuture<CommandReply> handle(CommandRequest request) {
        Object command = decode(request);
        if (!isLeader()) {
            return CompletableFuture.completedFuture(reply(leaderHint()));
        }
        return execute(command, request).handle((result, error) -> {
            if (error == null) {
                return reply(result);
            }
            WagtailcartException failure = toWagtailcartException(error);
            return reply(failure.code() == ResultCode.NOT_LEADER ? leaderHint() : CommandError.of(failure));
        });
    }

    /** Runs a command of this process on the leader. The future fails when the result is a {@link CommandError}. */
    CompletableFuture<Object> propose(Record command) {
        CommandRequest request = new CommandRequest(codec.typeNumber(command), codec.encode(command));
        return execute(decode(request), request).thenApply(result -> {
            if (result instanceof CommandError commandError) {
                throw commandError.toException();
            }
            return result;
        });
    }

    boolean isLeader() {
        return log.status().role() == RaftStatus.Role.LEADER;
    }

    private CompletableFuture<Object> execute(Object command, CommandRequest request) {
        if (command instanceof LookupKey || command instanceof ReadRoutes) {
            return log.confirmLeadership().thenCompose(index -> log.read(() -> state.lookup(command)));
        }
        return log.propose(codec.encode(request));
    }

    private Object decode(CommandRequest request) {
        if (request.command().length > MAX_COMMAND_BYTES) {
            throw new WagtailcartException(
                    ResultCode.PAYLOAD_TOO_LARGE,
                    "command of " + request.command().length + " bytes exceeds the limit of " + MAX_COMMAND_BYTES);
        }
        if (!isCommand(request.typeNumber())) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "message type " + request.typeNumber() + " is not a command");
        }
        try {
            Object command = codec.decode(request.typeNumber(), request.command());
            checkNoMissingFields("command", command);
            return command;
        } catch (WagtailcartException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, String.valueOf(e.getMessage()), e);
        }
    }

    private static boolean isCommand(int typeNumber) {
        return typeNumber == 200
                || typeNumber == 520
                || typeNumber == 800
                || typeNumber == 802
                || typeNumber == 900
                || typeNumber == 901
                || (typeNumber >= 300 && typeNumber <= 304)
                || typeNumber == 400
                || (typeNumber >= 402 && typeNumber <= 405);
    }

    /**
     * Checks recursively that every field not marked {@link Nullable} is present. Done before a command is proposed,
     * because a committed command must not fail on any member.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT}; the message names the field
     */
    static void checkNoMissingFields(String path, @Nullable Object value) {
        if (value == null) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "field " + path + " is missing");
        }
        if (value instanceof List<?> list) {
            list.forEach(element -> checkNoMissingFields(path + "[]", element));
        }
        if (value instanceof Record) {
            for (RecordComponent component : value.getClass().getRecordComponents()) {
                Object componentValue = componentValue(component, value);
                boolean optional = component.getAnnotatedType().isAnnotationPresent(Nullable.class);
                if (componentValue != null || !optional) {
                    checkNoMissingFields(path + "." + component.getName(), componentValue);
                }
            }
        }
    }

    private static @Nullable Object componentValue(RecordComponent component, Object value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private LeaderHint leaderHint() {
        return new LeaderHint(leaderAddress());
    }

    String leaderAddress() {
        return log.status().leader().map(member -> member.address().toString()).orElse("");
    }

    private CommandReply reply(Object result) {
        return new CommandReply(codec.typeNumber(result), codec.encode(result));
    }

    static WagtailcartException toWagtailcartException(Throwable error) {
        Throwable cause = Causes.unwrap(error);
        return cause instanceof WagtailcartException known
                ? known
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, RunState.MAY_HAVE_RUN, String.valueOf(cause));
    }
}
