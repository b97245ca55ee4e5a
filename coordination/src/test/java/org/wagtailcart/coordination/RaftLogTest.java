package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;

class RaftLogTest {
    private static final RaftTiming FAST = new RaftTiming(20, 300, 600, 1 << 20, 16, 64, 50, 1 << 20, 5, 20_000);
    private static final long LIMIT_SECONDS = 60;

    @TempDir
    Path folder;

    private final Map<String, LoopbackMember> members = new LinkedHashMap<>();
    private List<InitialMember> initial = List.of();

    @AfterEach
    void stop() {
        members.values().forEach(LoopbackMember::close);
    }

    /** Guards against a group that does not form, loses commands or differs between members, also after a restart. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void keepsCommandsOverARestartOfAllMembers(int count) throws Exception {
        startInitial(count);
        proposeAll(0, 120);
        members.values().forEach(LoopbackMember::close);
        members.clear();
        initial.forEach(this::start);
        proposeAll(120, 240);
        List<String> expected = commands(0, 240);
        awaitTrue(() ->
                members.values().stream().allMatch(member -> commandsOf(member).equals(expected)));
    }

    private void startInitial(int count) {
        initial = IntStream.rangeClosed(1, count)
                .mapToObj(i -> new InitialMember("m" + i, freeAddress()))
                .toList();
        initial.forEach(this::start);
    }

    private LoopbackMember start(InitialMember member) {
        LoopbackMember started = new LoopbackMember(
                member, folder.resolve(member.memberId()), initial, FAST, new RecordingStateMachine());
        members.put(member.memberId(), started);
        return started;
    }

    private LoopbackMember awaitLeader() {
        awaitTrue(() -> leaders().findFirst().isPresent());
        return leaders().findFirst().orElseThrow();
    }

    private Stream<LoopbackMember> leaders() {
        return members.values().stream().filter(member -> member.log.status().role() == LogStatus.Role.LEADER);
    }

    private void proposeAll(int from, int to) throws Exception {
        LoopbackMember leader = awaitLeader();
        List<CompletableFuture<Object>> futures = new ArrayList<>();
        commands(from, to).forEach(command -> futures.add(leader.log.propose(bytes(command))));
        for (int i = 0; i < futures.size(); i++) {
            assertThat(futures.get(i).get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(from + i + 1);
        }
    }

    private static List<String> commands(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "command-" + i).toList();
    }

    private static List<String> commandsOf(LoopbackMember member) {
        return member.log
                .read(((RecordingStateMachine) member.machine)::commands)
                .join();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Address freeAddress() {
        try (ServerSocket free = new ServerSocket(0)) {
            return new Address("127.0.0.1", free.getLocalPort());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitTrue(BooleanSupplier condition) {
        long deadlineMillis = MillisClock.monotonic().nowMillis() + TimeUnit.SECONDS.toMillis(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (MillisClock.monotonic().nowMillis() > deadlineMillis) {
                throw new AssertionError("condition not reached in time");
            }
            java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
