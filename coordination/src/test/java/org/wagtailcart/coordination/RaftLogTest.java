package org.wagtailcart.coordination;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.testing.TestAddresses;

/** Guards against lost or diverging commands in members with real files and connections. */
class RaftLogTest {
    private static final RaftTuning FAST = new RaftTuning(20, 300, 600, 1 << 20, 16, 64, 50, 1 << 20, 5, 20_000);
    private static final long TIMEOUT_SECONDS = 60;
    /** Codes of operations that a leader could not finish because it lost its quorum or its office. */
    private static final Set<ResultCode> LEADER_CHANGED =
            Set.of(ResultCode.NO_QUORUM, ResultCode.LEADERSHIP_LOST, ResultCode.NOT_LEADER);

    @TempDir
    Path folder;

    private final Map<String, LoopbackMember> members = new LinkedHashMap<>();
    private List<InitialMember> initial = List.of();

    @AfterEach
    void stop() {
        members.values().forEach(LoopbackMember::close);
    }

    /** Guards against a group that fails to bootstrap, loses commands or diverges between members after a restart. */
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

    /** Guards against commands lost over repeated restarts with snapshots, and state that a snapshot omits. */
    @Test
    void survivesRestartsAfterHundredsOfChangesWithSnapshots() throws Exception {
        startInitial(1);
        for (int round = 0; round < 5; round++) {
            proposeAll(round * 130, (round + 1) * 130);
            members.values().forEach(LoopbackMember::close);
            initial.forEach(this::start);
        }
        proposeAll(650, 651);
        assertThat(awaitLeader().log.status().snapshotIndex()).isGreaterThan(0);
        assertThat(commandsOf(awaitLeader())).isEqualTo(commands(0, 651));
    }

    /**
     * Guards against a member with a lost disk, the one that bootstrapped the group or another, that still votes,
     * bootstraps a second group or cannot be replaced.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void replacesAMemberThatLostItsDisk(int position) throws Exception {
        startInitial(3);
        proposeAll(0, 100);
        InitialMember lost = initial.get(position);
        Member old = members.get(lost.memberId()).log.status().self();
        members.get(lost.memberId()).close();
        deleteFolder(folder.resolve(lost.memberId()));
        LoopbackMember restarted = start(lost);
        proposeAll(100, 200);
        assertThat(restarted.log.status().role()).isEqualTo(RaftStatus.Role.LEARNER);
        assertThat(restarted.log.status().commitIndex()).isEqualTo(0);
        Member replacement = restarted.log.status().self();
        assertThat(replacement.incarnation()).isNotEqualTo(old.incarnation());

        change(MembershipChange.Kind.ADD_LEARNER, replacement);
        awaitTrue(() -> commandsOf(restarted).equals(commands(0, 200)));
        assertThat(refusal(new MembershipChange(MembershipChange.Kind.PROMOTE, replacement)))
                .isEqualTo(ResultCode.MEMBERSHIP_CHANGE_INVALID);
        change(MembershipChange.Kind.REMOVE, old);
        // The leader refuses until the learner has acknowledged the snapshot as durable.
        awaitTrue(() ->
                isVoter(replacement) || isAccepted(new MembershipChange(MembershipChange.Kind.PROMOTE, replacement)));
        awaitTrue(() -> restarted.log.status().role() == RaftStatus.Role.FOLLOWER);
        awaitTrue(() -> isConfirmedAfter(restarted, MillisClock.monotonic().nowMillis() - 1_000));
    }

    /** Guards against a follower that accepts proposals, and a leadership transfer that leaves no new leader. */
    @Test
    void followerReportsTheLeaderAndLeadershipIsTransferred() throws Exception {
        startInitial(3);
        LoopbackMember leader = awaitLeader();
        proposeAll(0, 1);
        LoopbackMember follower = members.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .orElseThrow();
        awaitTrue(() -> follower.log.status().leader().isPresent());
        ExecutionException refused = assertThrows(
                ExecutionException.class,
                () -> follower.log.propose(bytes("x")).get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertThat(((WagtailcartException) refused.getCause()).code()).isEqualTo(ResultCode.NOT_LEADER);
        assertThat(refused).hasMessageThat().contains(leader.log.status().self().memberId() + "@127.0.0.1:");
        assertThat(leader.log.confirmLeadership().get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isAtLeast(1L);
        leader.log.transferLeadership().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        awaitTrue(() -> leaders().anyMatch(member -> member != leader));
    }

    private static boolean isConfirmedAfter(LoopbackMember member, long millis) {
        return member.log.status().confirmedAtMillis() > millis;
    }

    private boolean isAccepted(MembershipChange change) {
        return awaitLeader()
                .log
                .changeMembership(change)
                .handle((members, error) -> error == null)
                .join();
    }

    /** Makes a change of membership; one that a leader could not finish is made again unless it has taken effect. */
    private void change(MembershipChange.Kind kind, Member member) {
        boolean expected = kind != MembershipChange.Kind.REMOVE;
        awaitTrue(() -> isListed(member) == expected || isAccepted(new MembershipChange(kind, member)));
    }

    private boolean isListed(Member member) {
        return awaitLeader().log.status().membership().members().stream()
                .anyMatch(listed ->
                        listed.memberId().equals(member.memberId()) && listed.incarnation() == member.incarnation());
    }

    private boolean isVoter(Member member) {
        return awaitLeader().log.status().membership().members().stream()
                .anyMatch(listed -> listed.voter()
                        && listed.memberId().equals(member.memberId())
                        && listed.incarnation() == member.incarnation());
    }

    /** Returns the code with which a leader in office refuses a change of membership. */
    private ResultCode refusal(MembershipChange change) {
        AtomicReference<ResultCode> code = new AtomicReference<>(ResultCode.OK);
        awaitTrue(() -> {
            ExecutionException refused = assertThrows(
                    ExecutionException.class,
                    () -> awaitLeader().log.changeMembership(change).get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            code.set(codeOf(refused));
            return !LEADER_CHANGED.contains(code.get()) && code.get() != ResultCode.MEMBERSHIP_CHANGE_IN_PROGRESS;
        });
        return code.get();
    }

    private static void deleteFolder(Path path) throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    /**
     * Guards against a group that is never bootstrapped because all members lost power before its bootstrap and were
     * restarted without the list of initial members.
     */
    @Test
    void bootstrapsAfterARestartWithoutInitialMembers() throws Exception {
        List<InitialMember> initialMembers = newMembers(3);
        initial = initialMembers;
        start(initialMembers.get(0));
        members.values().forEach(LoopbackMember::close);
        members.clear();
        initial = List.of();
        start(initialMembers.get(0));
        initial = initialMembers;
        start(initialMembers.get(1)).close();
        start(initialMembers.get(2)).close();
        initial = List.of();
        start(initialMembers.get(1));
        start(initialMembers.get(2));
        awaitLeader();
        assertThat(awaitLeader().log.status().membership().members()).hasSize(3);
    }

    private void startInitial(int count) {
        initial = newMembers(count);
        initial.forEach(this::start);
    }

    private static List<InitialMember> newMembers(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(i -> new InitialMember("m" + i, TestAddresses.free()))
                .toList();
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
        return members.values().stream().filter(member -> member.log.status().role() == RaftStatus.Role.LEADER);
    }

    /**
     * Proposes commands until each is applied once. A leader that loses its quorum or its office says of the pending
     * commands only that they may have run, as it does when this process is not scheduled for longer than an election
     * timeout; what the next leader has committed shows which did.
     */
    private void proposeAll(int from, int to) throws Exception {
        for (int next = from; next < to; ) {
            LoopbackMember leader = awaitLeader();
            List<CompletableFuture<Object>> futures = commands(next, to).stream()
                    .map(command -> leader.log.propose(bytes(command)))
                    .toList();
            int first = next;
            for (int i = 0; i < futures.size() && next == first + i; i++) {
                next += isApplied(futures.get(i), first + i + 1) ? 1 : 0;
            }
            next = next == to ? to : committedCommands();
        }
    }

    /** Waits for a proposal; returns false if it may not have run because the leader lost its office. */
    private static boolean isApplied(CompletableFuture<Object> proposal, int expectedResult) throws Exception {
        try {
            assertThat(proposal.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(expectedResult);
            return true;
        } catch (ExecutionException e) {
            assertThat(LEADER_CHANGED).contains(codeOf(e));
            return false;
        }
    }

    /** Returns the number of commands that a confirmed leader has applied, which must be the first ones in order. */
    private int committedCommands() {
        List<String> applied = new ArrayList<>();
        awaitTrue(() -> {
            LoopbackMember leader = awaitLeader();
            boolean confirmed = leader.log
                    .confirmLeadership()
                    .handle((index, error) -> error == null)
                    .join();
            applied.clear();
            applied.addAll(commandsOf(leader));
            return confirmed;
        });
        assertThat(applied).isEqualTo(commands(0, applied.size()));
        return applied.size();
    }

    private static ResultCode codeOf(ExecutionException error) {
        return ((WagtailcartException) error.getCause()).code();
    }

    private static List<String> commands(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "command-" + i).toList();
    }

    private static List<String> commandsOf(LoopbackMember member) {
        return member.log
                .read(((RecordingStateMachine) member.stateMachine)::commands)
                .join();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void awaitTrue(BooleanSupplier condition) {
        long deadlineMillis = MillisClock.monotonic().nowMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (MillisClock.monotonic().nowMillis() > deadlineMillis) {
                throw new AssertionError("the condition was not met in time");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
