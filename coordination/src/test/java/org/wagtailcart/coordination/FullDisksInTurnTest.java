package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.testing.DiskFault;
import org.wagtailcart.testing.FaultyDisk;
import org.wagtailcart.testing.TestAddresses;

/**
 * Guards against a group that refuses changes, leaves them unanswered or loses acknowledged ones after the disks of its
 * members were full for a while, one after another.
 */
class FullDisksInTurnTest {
    private static final RaftTuning FAST = new RaftTuning(20, 300, 600, 1 << 20, 16, 64, 50, 1 << 20, 5, 20_000);
    private static final long RECOVERY_MILLIS = 20_000;
    private static final long PROPOSAL_INTERVAL_MILLIS = 5;
    private static final long SHORTEST_FAULT_MILLIS = 200;
    private static final long LONGEST_FAULT_MILLIS = 1_200;
    /** Lock, log and watermark. */
    private static final int OPEN_FILES_PER_MEMBER = 3;

    private static final int ROUNDS = Integer.getInteger("fullDisks.rounds", 2);
    private static final int SEEDS = Integer.getInteger("fullDisks.seeds", 1);

    @TempDir
    Path folder;

    private final MillisClock clock = MillisClock.monotonic();
    private final Map<String, FaultyDisk> disks = new LinkedHashMap<>();
    private final Map<String, LoopbackMember> members = new LinkedHashMap<>();
    private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    private final List<CompletableFuture<Object>> proposals = new ArrayList<>();
    private List<InitialMember> initial = List.of();
    private int proposed;

    static Stream<Arguments> cases() {
        return Stream.of(3, 5).flatMap(count -> Stream.of(DiskFault.values())
                .filter(fault -> fault != DiskFault.NONE)
                .flatMap(fault -> IntStream.rangeClosed(1, SEEDS).mapToObj(seed -> Arguments.of(count, fault, seed))));
    }

    @AfterEach
    void stop() {
        disks.values().forEach(disk -> disk.setFault(DiskFault.NONE));
        members.values().forEach(LoopbackMember::close);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void changesAreAcknowledgedAfterTheLastDiskHasRoom(int count, DiskFault fault, int seed) throws IOException {
        startGroup(count);
        Random random = new Random(seed);
        proposeFor(SHORTEST_FAULT_MILLIS);
        for (int round = 0; round < ROUNDS; round++) {
            List<FaultyDisk> order = new ArrayList<>(disks.values());
            Collections.shuffle(order, random);
            for (FaultyDisk disk : order) {
                int failuresBefore = disk.failures();
                disk.setFault(fault);
                proposeFor(random.nextLong(SHORTEST_FAULT_MILLIS, LONGEST_FAULT_MILLIS));
                if (fault != DiskFault.FILES) {
                    awaitFailure(disk, failuresBefore);
                }
                disk.setFault(DiskFault.NONE);
                proposeFor(random.nextLong(1, SHORTEST_FAULT_MILLIS));
            }
        }
        assertChangeIsAcknowledged();
        awaitTrue(() -> proposals.stream().allMatch(CompletableFuture::isDone));
        awaitSameCommandsWithAllAcknowledged();
        awaitTrue(() -> disks.values().stream().allMatch(disk -> disk.openChannels() <= OPEN_FILES_PER_MEMBER));

        members.values().forEach(LoopbackMember::close);
        members.clear();
        initial.forEach(this::start);
        assertChangeIsAcknowledged();
        awaitSameCommandsWithAllAcknowledged();
    }

    private void startGroup(int count) throws IOException {
        initial = IntStream.rangeClosed(1, count)
                .mapToObj(i -> new InitialMember("m" + i, TestAddresses.free()))
                .toList();
        for (InitialMember member : initial) {
            disks.put(member.memberId(), new FaultyDisk(Files.createDirectory(folder.resolve(member.memberId()))));
        }
        initial.forEach(this::start);
        assertChangeIsAcknowledged();
    }

    private void start(InitialMember member) {
        Path root = disks.get(member.memberId()).root();
        members.put(member.memberId(), new LoopbackMember(member, root, initial, FAST, new RecordingStateMachine()));
    }

    /** Proposes changes to every member that takes itself for the leader. */
    private void proposeFor(long millis) {
        long endMillis = clock.nowMillis() + millis;
        while (clock.nowMillis() < endMillis) {
            proposeToLeaders();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PROPOSAL_INTERVAL_MILLIS));
        }
    }

    /** Keeps the fault until a write has met it; a group that elects a leader meanwhile writes nothing. */
    private void awaitFailure(FaultyDisk disk, int failuresBefore) {
        awaitTrue(() -> {
            proposeToLeaders();
            return disk.failures() > failuresBefore;
        });
    }

    private void proposeToLeaders() {
        members.values().stream()
                .filter(member -> member.log.status().role() == RaftStatus.Role.LEADER)
                .forEach(this::propose);
    }

    private void propose(LoopbackMember member) {
        String command = "command-" + proposed++;
        CompletableFuture<Object> proposal = member.log.propose(command.getBytes(StandardCharsets.UTF_8));
        proposals.add(proposal);
        CompletableFuture<?> unused = proposal.thenAccept(result -> acknowledged.add(command));
    }

    private void assertChangeIsAcknowledged() {
        int before = acknowledged.size();
        int pending = proposals.size();
        awaitTrue(() -> {
            proposeToLeaders();
            return proposals.subList(pending, proposals.size()).stream()
                            .anyMatch(proposal -> proposal.isDone() && !proposal.isCompletedExceptionally())
                    && acknowledged.size() > before;
        });
    }

    private void awaitSameCommandsWithAllAcknowledged() {
        List<String> expected = new ArrayList<>();
        awaitTrue(() -> {
            expected.clear();
            expected.addAll(commandsOf(members.values().iterator().next()));
            return new HashSet<>(expected).containsAll(acknowledged)
                    && members.values().stream()
                            .allMatch(member -> commandsOf(member).equals(expected));
        });
        assertThat(expected).containsNoDuplicates();
    }

    private static List<String> commandsOf(LoopbackMember member) {
        return member.log
                .read(((RecordingStateMachine) member.stateMachine)::commands)
                .join();
    }

    private void awaitTrue(BooleanSupplier condition) {
        long deadlineMillis = clock.nowMillis() + RECOVERY_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(clock.nowMillis()).isLessThan(deadlineMillis);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PROPOSAL_INTERVAL_MILLIS));
        }
    }
}
