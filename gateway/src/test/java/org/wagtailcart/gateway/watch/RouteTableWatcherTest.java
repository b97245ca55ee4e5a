package org.wagtailcart.gateway.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Regions;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.quarantine.PromptQuarantine;
import org.wagtailcart.gateway.report.GatewayReports;
import org.wagtailcart.gateway.report.UsageReports;
import org.wagtailcart.gateway.share.WorkspaceLimits;
import org.wagtailcart.policy.placement.Location;
import org.wagtailcart.routes.RequestLimits;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.usage.UsageBatch;

/** Guards against a missing or outdated routing table when control members are down, outdated or followers. */
class RouteTableWatcherTest {
    private static final Address A = new Address("10.0.0.1", 7000);
    private static final int GATEWAYS = 26;
    private static final Address B = new Address("10.0.0.2", 7000);

    /** Parts of a poll whose composition may fail. */
    private enum PollPart {
        QUARANTINE,
        USAGE,
        DEMAND
    }

    /** Reply of a member; members without one fail. */
    private record MemberReply(long version, long confirmationAgeMillis, String leader) {}

    private final Map<Address, MemberReply> replies = new ConcurrentHashMap<>();
    private final List<Long> timeoutsMillis = new CopyOnWriteArrayList<>();
    private final AtomicInteger callsThatThrow = new AtomicInteger();
    /** Number of the next accesses to each part of a poll that fail. */
    private final Map<PollPart, AtomicInteger> failures = Arrays.stream(PollPart.values())
            .collect(Collectors.toUnmodifiableMap(part -> part, part -> new AtomicInteger()));

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final UpstreamRegistry registry =
            new UpstreamRegistry(new Location("fes", Regions.SINGLE), MillisClock.monotonic());
    private final UsageReports usageReports = new UsageReports() {
        @Override
        public Optional<UsageBatch> nextBatch() {
            failIfDue(PollPart.USAGE);
            return Optional.empty();
        }

        @Override
        public void applyReply(long trueTimeMillis, long acknowledged, long receivedAtMillis) {}
    };

    private final RouteTableWatcher watcher = new RouteTableWatcher(
            "g",
            List.of(A, B),
            this::call,
            registry,
            new PromptQuarantine(() -> millisOf(PollPart.QUARANTINE)),
            new GatewayReports(registry, usageReports, new WorkspaceLimits("g", () -> millisOf(PollPart.DEMAND))),
            timer,
            MillisClock.monotonic());

    @AfterEach
    void stop() {
        watcher.close();
        timer.shutdownNow();
    }

    private CompletableFuture<WatchReply> call(Address member, WatchRequest request, long timeoutMillis) {
        timeoutsMillis.add(timeoutMillis);
        if (callsThatThrow.getAndDecrement() > 0) {
            throw new IllegalStateException("request cannot be encoded");
        }
        MemberReply memberReply = replies.get(member);
        if (memberReply == null) {
            return CompletableFuture.failedFuture(new IllegalStateException("down"));
        }
        RouteTable table = new RouteTable(memberReply.version(), List.of(), List.of(), RequestLimits.DEFAULT, null);
        WatchReply reply = new WatchReply(
                memberReply.version() > request.tableVersion() ? table : null,
                memberReply.version(),
                memberReply.confirmationAgeMillis(),
                memberReply.leader(),
                List.of(),
                GATEWAYS,
                List.of(),
                List.of(),
                0,
                0,
                null,
                0,
                0,
                null,
                null);
        return CompletableFuture.supplyAsync(() -> reply, CompletableFuture.delayedExecutor(10, TimeUnit.MILLISECONDS));
    }

    private void failIfDue(PollPart part) {
        if (failures.get(part).getAndDecrement() > 0) {
            throw new IllegalStateException("poll cannot be composed");
        }
    }

    /** Returns the time of the clock of a part of a poll. */
    private long millisOf(PollPart part) {
        failIfDue(part);
        return 0;
    }

    /** Guards against a gateway that never polls again after a poll that could not be composed. */
    @ParameterizedTest
    @EnumSource(PollPart.class)
    void pollingContinuesAfterAPollThatCannotBeComposed(PollPart part) throws InterruptedException {
        replies.put(A, new MemberReply(3, 0, ""));
        replies.put(B, new MemberReply(3, 0, ""));
        failures.get(part).set(3);
        watcher.start();
        awaitVersion(3);
        assertThat(failures.get(part).get()).isLessThan(0);
    }

    private void awaitVersion(long version) throws InterruptedException {
        for (int i = 0; i < 500 && watcher.routes().table().version() != version; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(watcher.routes().table().version()).isEqualTo(version);
    }

    /** Guards against a member that is down and delays the first table, for which callers wait. */
    @Test
    void gatewayWithoutATableUsesAShorterTimeout() throws InterruptedException {
        replies.put(A, new MemberReply(3, 0, ""));
        replies.put(B, new MemberReply(3, 0, ""));
        watcher.start();
        awaitVersion(3);
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(timeoutsMillis.get(0)).isLessThan(timeoutsMillis.get(timeoutsMillis.size() - 1));
    }

    /** Guards against a gateway that never polls again after a poll that could not be sent. */
    @Test
    void pollingContinuesAfterAnException() throws InterruptedException {
        replies.put(A, new MemberReply(3, 0, ""));
        replies.put(B, new MemberReply(3, 0, ""));
        callsThatThrow.set(3);
        watcher.start();
        awaitVersion(3);
    }

    @Test
    void unreachableMemberIsSkipped() throws InterruptedException {
        replies.put(B, new MemberReply(3, 0, ""));
        watcher.start();
        awaitVersion(3);
        replies.remove(B);
        replies.put(A, new MemberReply(4, 0, ""));
        awaitVersion(4);
    }

    /** Guards against the outdated table of a member that is partitioned from its group; it reports it unconfirmed. */
    @Test
    void unconfirmedTableIsIgnoredWhileAnotherMemberIsConfirmed() throws InterruptedException {
        replies.put(A, new MemberReply(2, 60_000, ""));
        replies.put(B, new MemberReply(5, 0, ""));
        watcher.start();
        awaitVersion(5);
        assertThat(watcher.confirmed()).isTrue();
    }

    /** Guards against a gateway that acts as the only one after an outage until the leader has read the host list. */
    @ParameterizedTest
    @CsvSource({"10.0.0.1:7000, 26", "10.0.0.3:7000, 1", "'', 1"})
    void leaderWithoutAHostListTellsOfTheOtherGateways(String leader, int expected) throws InterruptedException {
        replies.put(A, new MemberReply(3, 0, leader));
        replies.put(B, new MemberReply(3, 0, leader));
        watcher.start();
        awaitVersion(3);
        TimeUnit.MILLISECONDS.sleep(200);
        assertThat(watcher.gatewayCount()).isEqualTo(expected);
    }

    @Test
    void versionNeverDecreases() throws InterruptedException {
        replies.put(A, new MemberReply(7, 0, ""));
        replies.put(B, new MemberReply(7, 0, ""));
        watcher.start();
        awaitVersion(7);
        replies.put(A, new MemberReply(6, 0, ""));
        replies.put(B, new MemberReply(6, 0, ""));
        TimeUnit.MILLISECONDS.sleep(300);
        assertThat(watcher.routes().table().version()).isEqualTo(7);
    }
}
