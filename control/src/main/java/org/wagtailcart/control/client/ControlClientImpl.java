package org.wagtailcart.control.client;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.Causes;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;

/** Control client over peer connections that follows leader hints and otherwise tries the members in turn. */
public final class ControlClientImpl implements ControlClient {
    /** Sends one request to one member. */
    @FunctionalInterface
    public interface Transport {
        CompletableFuture<CommandReply> call(Address member, CommandRequest request, long timeoutMillis);
    }

    // Leaves time to try another member within the usual call timeouts of 5 s and more; an election takes 1 to 3 s.
    private static final long ATTEMPT_TIMEOUT_MILLIS = 2_000;
    // Avoids a busy loop while there is no leader, when all members reply immediately.
    private static final long RETRY_DELAY_MILLIS = 50;

    private final Transport transport;
    private final MessageCodec codec;
    private final List<Address> members;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock;
    private volatile Address leader;

    /** Creates a client over peer connections. */
    public ControlClientImpl(
            PeerClient peers, MessageCodec codec, List<Address> members, ScheduledExecutorService scheduler) {
        this(
                (member, request, timeoutMillis) -> peers.call(member, request, CommandReply.class, timeoutMillis),
                codec,
                members,
                scheduler,
                MillisClock.monotonic());
    }

    /**
     * Creates a client.
     *
     * @param clock monotonic clock
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when there is no member
     */
    public ControlClientImpl(
            Transport transport,
            MessageCodec codec,
            List<Address> members,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        if (members.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "no control member address is given; at least one is required");
        }
        this.transport = transport;
        this.codec = codec;
        this.members = List.copyOf(members);
        this.scheduler = scheduler;
        this.clock = clock;
        this.leader = members.get(0);
    }

    @Override
    public <T> CompletableFuture<T> submit(Object command, Class<T> resultType, long timeoutMillis) {
        CommandRequest request = new CommandRequest(codec.typeNumber(command), codec.encode(command));
        Submission<T> submission = new Submission<>(request, resultType, clock.nowMillis() + timeoutMillis);
        submission.sendAttempt();
        return submission.future;
    }

    /** Changes the assumed leader unless another call has already done so. */
    private synchronized void switchLeader(Address from, Address to) {
        if (leader.equals(from)) {
            leader = to;
        }
    }

    private Address nextMember(Address member) {
        return members.get((members.indexOf(member) + 1) % members.size());
    }

    /** A submitted command with its sequential attempts. */
    private final class Submission<T> {
        private final CommandRequest request;
        private final Class<T> resultType;
        private final long deadlineMillis;
        private final CompletableFuture<T> future = new CompletableFuture<>();
        private Address lastMember = leader;
        private boolean mayHaveRun;
        private String lastReason = "no member was contacted";

        Submission(CommandRequest request, Class<T> resultType, long deadlineMillis) {
            this.request = request;
            this.resultType = resultType;
            this.deadlineMillis = deadlineMillis;
        }

        private void sendAttempt() {
            long remainingMillis = deadlineMillis - clock.nowMillis();
            if (future.isDone()) {
                return;
            }
            if (remainingMillis <= 0) {
                fail(ResultCode.NO_QUORUM, RunState.NOT_RUN, "no leader replied before the timeout; " + lastReason);
                return;
            }
            Address member = leader;
            lastMember = member;
            CompletableFuture<CommandReply> unused = transport
                    .call(member, request, Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS))
                    .whenComplete(this::handleReply);
        }

        private void handleReply(@Nullable CommandReply reply, @Nullable Throwable error) {
            try {
                if (reply != null) {
                    handleResult(codec.decode(reply.typeNumber(), reply.result()));
                } else {
                    handleError(error == null ? new IllegalStateException("no reply") : error);
                }
            } catch (WagtailcartException e) {
                fail(e.code(), RunState.MAY_HAVE_RUN, String.valueOf(e.getMessage()));
            }
        }

        private void handleResult(Object result) {
            if (result instanceof LeaderHint hint) {
                followHint(hint);
            } else if (result instanceof CommandError commandError) {
                handleError(commandError.toException());
            } else if (resultType.isInstance(result)) {
                future.complete(resultType.cast(result));
            } else {
                fail(
                        ResultCode.UNKNOWN_MESSAGE,
                        RunState.MAY_HAVE_RUN,
                        "unexpected result of type " + result.getClass().getSimpleName());
            }
        }

        private void followHint(LeaderHint hint) {
            lastReason = lastMember + " is not the leader";
            Address next =
                    hint.leaderAddress().isEmpty() ? nextMember(lastMember) : Address.parse(hint.leaderAddress());
            if (next.equals(lastMember)) {
                next = nextMember(lastMember);
            }
            switchLeader(lastMember, next);
            scheduleRetry();
        }

        private void handleError(Throwable error) {
            Throwable cause = Causes.unwrap(error);
            RunState runState = cause instanceof WagtailcartException known ? known.runState() : RunState.MAY_HAVE_RUN;
            mayHaveRun |= runState != RunState.NOT_RUN;
            lastReason = lastMember + ": " + cause.getMessage();
            if (cause instanceof WagtailcartException known && isNonRetryable(known.code())) {
                fail(known.code(), runState, lastReason);
                return;
            }
            switchLeader(lastMember, nextMember(lastMember));
            scheduleRetry();
        }

        private void scheduleRetry() {
            try {
                ScheduledFuture<?> unused =
                        scheduler.schedule(this::sendAttempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            } catch (RejectedExecutionException e) {
                fail(ResultCode.SHUTTING_DOWN, RunState.NOT_RUN, "process is stopping; " + lastReason);
            }
        }

        /** Fails the call. NOT_RUN is reported only when no earlier attempt may have run the command. */
        private void fail(ResultCode code, RunState runState, String text) {
            RunState combined = mayHaveRun && runState == RunState.NOT_RUN ? RunState.MAY_HAVE_RUN : runState;
            future.completeExceptionally(new WagtailcartException(code, combined, text));
        }

        /** Returns whether any member would reject the same command again, now or later. */
        private static boolean isNonRetryable(ResultCode code) {
            int group = code.number() / 1000;
            return group == 1 || group == 4 || group == 5 || code == ResultCode.FRAME_TOO_LARGE;
        }
    }
}
