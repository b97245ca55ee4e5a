package org.wagtailcart.control.client;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.ControlState;
import org.wagtailcart.control.EmptyKeyStateMachine;
import org.wagtailcart.control.Samples;
import org.wagtailcart.control.SyncReplyBuilderAccess;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.SettingsHistory;
import org.wagtailcart.settings.SettingsTree;

/**
 * Guards against a process that installs older state, overestimates its lease or stays with a failed control member.
 */
class SyncLoopTest {
    private static final List<Address> MEMBERS =
            List.of(new Address("127.0.0.1", 1), new Address("127.0.0.1", 2), new Address("127.0.0.1", 3));
    private static final ProcessIdentity IDENTITY = new ProcessIdentity("p1", 1, "entry", "h", "d");

    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final AtomicLong nowMillis = new AtomicLong(1_000_000);

    @AfterEach
    void stop() {
        scheduler.shutdownNow();
    }

    private SyncLoop loop(SyncLoop.Transport transport) {
        return new SyncLoop(IDENTITY, MEMBERS, transport, Samples.CODEC, scheduler, List::of, nowMillis::get);
    }

    private static SyncReply reply(long revision, long ageMillis, List<PowerGrant> grants) {
        return new SyncReply(
                revision,
                true,
                List.of(SettingsEdit.create("/r" + revision)),
                0,
                List.of(),
                List.of(),
                ageMillis,
                grants,
                "",
                1);
    }

    /**
     * Guards against a process that returns to an older revision or fleet version, or diverges from the group, while
     * control members lag behind, restart from snapshots, fail or reply late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void neverInstallsAnOlderVersion(long seed) throws Exception {
        Random random = new Random(seed);
        List<ControlState> members = new ArrayList<>();
        MEMBERS.forEach(member -> members.add(new ControlState(Samples.CODEC, new EmptyKeyStateMachine())));
        List<byte[]> log = new ArrayList<>();
        int[] applied = new int[MEMBERS.size()];
        List<Long> seen = new ArrayList<>();
        CountDownLatch enoughSyncs = new CountDownLatch(150);
        SyncReplyBuilderAccess replyBuilder = new SyncReplyBuilderAccess(Samples.CODEC);
        SyncLoop[] loop = new SyncLoop[1];
        loop[0] = loop((member, request, timeoutMillis) -> {
            synchronized (random) {
                seen.add(request.revision() * 1_000_000 + request.fleetVersion());
                enoughSyncs.countDown();
                addChange(log, random);
                int at = MEMBERS.indexOf(member);
                advance(members, applied, log, random);
                if (random.nextInt(10) == 0) {
                    ControlState restored = new ControlState(Samples.CODEC, new EmptyKeyStateMachine());
                    restored.restore(members.get(at).snapshot());
                    members.set(at, restored);
                }
                scheduler.execute(loop[0]::requestSync);
                if (random.nextInt(5) == 0) {
                    return CompletableFuture.failedFuture(new WagtailcartException(ResultCode.CONNECTION_LOST, "lost"));
                }
                nowMillis.addAndGet(10);
                return CompletableFuture.completedFuture(
                        replyBuilder.buildReply(request, members.get(at).published()));
            }
        });
        loop[0].start();
        assertThat(enoughSyncs.await(60, TimeUnit.SECONDS)).isTrue();
        loop[0].close();
        synchronized (random) {
            assertThat(seen).isInOrder();
            assertThat(new HashSet<>(seen).size()).isGreaterThan(20);
            while (applied[0] < log.size()) {
                members.get(0).apply(applied[0] + 1, 1, log.get(applied[0]++));
            }
            SettingsTree installed = loop[0].settings();
            SettingsTree expected = members.get(0).published().settings().treeAt(installed.revision());
            assertWithMessage(
                            "differences between the committed and the installed tree: %s",
                            SettingsHistory.compare(expected, installed))
                    .that(expected.hasSameContent(installed))
                    .isTrue();
        }
    }

    private static void addChange(List<byte[]> log, Random random) {
        long revision = log.size();
        List<SettingsEdit> edits = revision == 0
                ? Samples.engines(20)
                : List.of(SettingsEdit.set(
                        "/upstreams/assistant/e" + random.nextInt(20),
                        "max-in-flight",
                        String.valueOf(1 + random.nextInt(4096))));
        log.add(Samples.encode(new ApplySettings("c" + revision, "op", revision, edits)));
    }

    private static void advance(List<ControlState> members, int[] applied, List<byte[]> log, Random random) {
        for (int at = 0; at < applied.length; at++) {
            int until = applied[at] + random.nextInt(log.size() - applied[at] + 1);
            while (applied[at] < until) {
                members.get(at).apply(applied[at] + 1, 1, log.get(applied[at]++));
            }
        }
    }

    /** Guards against a lease that starts at the receipt of the reply or ignores the age of the confirmation. */
    @Test
    void leaseCountsFromTheRequest() {
        SyncedState state = SyncedState.INITIAL.withReply(reply(1, 700, List.of(new PowerGrant("e1", 3_000))), 50_000);
        assertThat(state.leaseDeadlineMillis()).isEqualTo(50_000 + 12_000 - 700);
        assertThat(state.grantDeadlinesMillis()).containsExactly("e1", 53_000L);
        SyncedState later = state.withReply(reply(1, 9_000, List.of()), 51_000);
        assertThat(later.leaseDeadlineMillis()).isEqualTo(state.leaseDeadlineMillis());
        SyncedState stale = later.withReply(reply(0, 0, List.of()), 60_000);
        assertThat(stale).isEqualTo(later);
        SyncedState expired = later.withReply(reply(1, 0, List.of()), 53_000);
        assertThat(expired.grantDeadlinesMillis()).isEmpty();
    }

    /** Guards against a process that keeps polling a member that does not reply or makes no progress. */
    @Test
    void triesTheNextMemberAfterFailure() throws Exception {
        Set<Address> tried = ConcurrentHashMap.newKeySet();
        AtomicInteger changes = new AtomicInteger();
        CountDownLatch installed = new CountDownLatch(1);
        SyncLoop loop = loop((member, request, timeoutMillis) -> {
            tried.add(member);
            return tried.size() < 3
                    ? CompletableFuture.failedFuture(new WagtailcartException(ResultCode.CONNECT_FAILED, "down"))
                    : CompletableFuture.completedFuture(reply(4, 0, List.of()));
        });
        loop.onChange(() -> {
            changes.incrementAndGet();
            installed.countDown();
        });
        loop.start();
        assertThat(installed.await(60, TimeUnit.SECONDS)).isTrue();
        assertThat(loop.settings().revision()).isEqualTo(4);
        assertThat(tried).containsExactlyElementsIn(MEMBERS);
        loop.close();
    }
}
