package org.wagtailcart.control.client;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.Samples;
import org.wagtailcart.fleet.BeginOrder;
import org.wagtailcart.fleet.FleetResult;

/** Guards against a client that misses the leader, alters a resent command or reports a wrong run state. */
class ControlClientImplTest {
    private static final Address A = new Address("127.0.0.1", 1);
    private static final Address B = new Address("127.0.0.1", 2);
    private static final BeginOrder COMMAND = new BeginOrder("e1", 7, 3);

    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    private final AtomicLong nowMillis = new AtomicLong();
    private final List<Address> contactedMembers = Collections.synchronizedList(new ArrayList<>());
    private final List<CommandRequest> requests = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void stop() {
        scheduler.shutdownNow();
    }

    private static CompletableFuture<CommandReply> reply(Record result) {
        return CompletableFuture.completedFuture(
                new CommandReply(Samples.CODEC.typeNumber(result), Samples.CODEC.encode(result)));
    }

    private CompletableFuture<FleetResult> submit(List<CompletableFuture<CommandReply>> replies) {
        ControlClientImpl.Transport transport = (member, request, timeoutMillis) -> {
            contactedMembers.add(member);
            requests.add(request);
            nowMillis.addAndGet(100);
            return replies.get(Math.min(contactedMembers.size(), replies.size()) - 1);
        };
        return new ControlClientImpl(transport, Samples.CODEC, List.of(A, B), scheduler, nowMillis::get)
                .submit(COMMAND, FleetResult.class, 1_000);
    }

    private static CompletableFuture<CommandReply> failure(ResultCode code) {
        return CompletableFuture.failedFuture(new WagtailcartException(code, "failed"));
    }

    /** Guards against a client that ignores the leader's address or changes a command that it resends. */
    @Test
    void followsTheLeaderAndResendsTheSameCommand() throws Exception {
        FleetResult result = submit(List.of(
                        reply(new LeaderHint("127.0.0.1:9")),
                        failure(ResultCode.CONNECTION_LOST),
                        reply(new LeaderHint("")),
                        reply(new FleetResult(0, 7, ""))))
                .get(30, TimeUnit.SECONDS);
        assertThat(result).isEqualTo(new FleetResult(0, 7, ""));
        assertThat(contactedMembers)
                .containsExactly(A, new Address("127.0.0.1", 9), A, B)
                .inOrder();
        assertThat(requests.stream().map(request -> Samples.CODEC.decode(request.typeNumber(), request.command())))
                .containsExactly(COMMAND, COMMAND, COMMAND, COMMAND);
    }

    /** Guards against NOT_RUN for a command that some member may have run. */
    @ParameterizedTest
    @CsvSource({
        "CONNECT_FAILED, CONNECT_FAILED, NO_QUORUM, NOT_RUN",
        "CONNECT_FAILED, CONNECTION_LOST, NO_QUORUM, MAY_HAVE_RUN",
        "CONNECTION_LOST, CONNECT_FAILED, NO_QUORUM, MAY_HAVE_RUN",
        "CALL_DEADLINE_EXCEEDED, NOT_LEADER, NO_QUORUM, MAY_HAVE_RUN",
        "NO_QUORUM, CONNECT_FAILED, NO_QUORUM, MAY_HAVE_RUN",
        "CONNECT_FAILED, INVALID_ARGUMENT, INVALID_ARGUMENT, NOT_RUN",
        "CONNECTION_LOST, INVALID_ARGUMENT, INVALID_ARGUMENT, MAY_HAVE_RUN",
    })
    void reportsNotRunOnlyWhenProven(ResultCode first, ResultCode then, ResultCode code, RunState runState) {
        CompletableFuture<FleetResult> future = submit(List.of(failure(first), failure(then)));
        ExecutionException failed = assertThrows(ExecutionException.class, () -> future.get(30, TimeUnit.SECONDS));
        WagtailcartException cause = (WagtailcartException) failed.getCause();
        assertThat(cause.code()).isEqualTo(code);
        assertThat(cause.runState()).isEqualTo(runState);
        assertThat(contactedMembers).contains(B);
    }

    /** Guards against a call that fails before its timeout because the leader replied that it lost its quorum. */
    @Test
    void retriesAfterTheLeaderLostItsQuorum() throws Exception {
        CommandError lost = new CommandError(ResultCode.NO_QUORUM.number(), RunState.MAY_HAVE_RUN, "no quorum");
        FleetResult result =
                submit(List.of(reply(lost), reply(new FleetResult(0, 7, "")))).get(30, TimeUnit.SECONDS);
        assertThat(result.codeNumber()).isEqualTo(0);
    }
}
