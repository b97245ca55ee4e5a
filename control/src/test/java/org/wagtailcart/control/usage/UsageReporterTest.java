package org.wagtailcart.control.usage;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.orders.Leadership;
import org.wagtailcart.control.orders.OrderLease;
import org.wagtailcart.control.orders.OrderLeaseHolder;
import org.wagtailcart.control.orders.PlatformCallLimiter;
import org.wagtailcart.usage.CloseUsageWindow;
import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.MarkUsageReported;
import org.wagtailcart.usage.UsageBatch;
import org.wagtailcart.usage.UsageReportOutcome;
import org.wagtailcart.usage.UsageState;
import org.wagtailcart.usage.WindowCounts;

/** Guards against two different reports of a window, and against reports of a process that is no longer the holder. */
class UsageReporterTest {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long LEASE_MILLIS = 3_000;
    /** Longest time between the confirmation of a holder and the arrival of its call. */
    private static final long CALL_DELAY_MILLIS = 1_500;
    /** Start of a window in true time. */
    private static final long TRUE_START_MILLIS = 1_767_225_600_000L;

    private record Call(String holder, long token, ClosedUsageWindow window, long atMillis) {}

    /** Replicated state that all members share, and their virtual clock. */
    private static final class Group implements UsageBackend {
        private long nowMillis = 1_000_000;
        private UsageState state = UsageState.EMPTY;
        private OrderLease lease = OrderLease.NONE;
        private String leader = "";
        private boolean marksAreLost;
        private boolean closeFails;
        private final List<Call> calls = new ArrayList<>();

        @Override
        public UsageState state() {
            return state;
        }

        @Override
        public CompletableFuture<ClosedUsageWindow> close(CloseUsageWindow command) {
            if (closeFails) {
                throw new IllegalStateException("not expected");
            }
            state = state.apply(command);
            return CompletableFuture.completedFuture(
                    state.find(command.window()).orElseThrow());
        }

        @Override
        public CompletableFuture<ClosedUsageWindow> mark(MarkUsageReported command) {
            if (marksAreLost) {
                return CompletableFuture.failedFuture(new IllegalStateException("the member was killed"));
            }
            state = state.apply(command);
            return CompletableFuture.completedFuture(
                    state.find(command.window()).orElseThrow());
        }
    }

    private final Group group = new Group();

    /** A control member with its own lease and ledger. */
    private final class Member implements Leadership, AutoCloseable {
        private final String id;
        private long sequence = 1;
        /** Time for which the process is frozen while its leadership is confirmed. */
        private long frozenInConfirmMillis;
        /** Time for which the process is frozen after the confirmation, before it sends. */
        private long frozenBeforeSendMillis;

        private UsageReportOutcome outcome = UsageReportOutcome.ACCEPTED;
        /** Thrown by each call. */
        private @Nullable Throwable failure;

        private final UsageObserver observer = new UsageObserver("m", () -> TRUE_START_MILLIS + group.nowMillis);
        private final UsageReporter reporter;

        Member(String id) {
            this.id = id;
            MillisClock clock = () -> group.nowMillis;
            this.reporter = new UsageReporter(
                    id,
                    new OrderLeaseHolder(id, this, LEASE_MILLIS, clock),
                    new PlatformCallLimiter(),
                    group,
                    observer,
                    this::report,
                    WINDOW_MILLIS,
                    10_000,
                    new MetricRegistry(),
                    clock);
        }

        private UsageReportOutcome report(String holder, long token, ClosedUsageWindow window, long sendByMillis) {
            group.nowMillis += frozenBeforeSendMillis;
            if (group.nowMillis > sendByMillis) {
                return UsageReportOutcome.NOT_SENT;
            }
            group.calls.add(new Call(holder, token, window, group.nowMillis));
            Throwable thrown = failure;
            if (thrown instanceof Error error) {
                throw error;
            }
            if (thrown instanceof RuntimeException exception) {
                throw exception;
            }
            return outcome;
        }

        /** Receives polls of gateways with the same counts and a check every 100 ms. */
        void run(long forMillis, long count) {
            for (long untilMillis = group.nowMillis + forMillis; group.nowMillis < untilMillis; ) {
                group.nowMillis += 100;
                long trueMillis = TRUE_START_MILLIS + group.nowMillis;
                List<WindowCounts> windows =
                        List.of(new WindowCounts(trueMillis / WINDOW_MILLIS, Map.of("hule930", count)));
                for (int gateway = 0; gateway < 4; gateway++) {
                    UsageBatch batch = new UsageBatch(1, ++sequence, trueMillis, windows, 0);
                    observer.record("g" + gateway, trueMillis, batch, group.nowMillis);
                }
                reporter.runSafely();
            }
        }

        @Override
        public boolean isLeader() {
            return group.leader.equals(id);
        }

        @Override
        public CompletableFuture<Long> confirmLeadership() {
            group.nowMillis += frozenInConfirmMillis;
            return isLeader()
                    ? CompletableFuture.completedFuture(1L)
                    : CompletableFuture.failedFuture(new IllegalStateException("not the leader"));
        }

        @Override
        public OrderLease orderLease() {
            return group.lease;
        }

        @Override
        public CompletableFuture<OrderLease> acquireOrderLease(String holder) {
            group.lease = group.lease.grantedTo(holder);
            return CompletableFuture.completedFuture(group.lease);
        }

        @Override
        public void close() {
            reporter.close();
        }
    }

    private Member leader(String id) {
        group.leader = id;
        return new Member(id);
    }

    private void assertCallsAreConsistent() {
        for (int i = 1; i < group.calls.size(); i++) {
            assertThat(group.calls.get(i).token())
                    .isAtLeast(group.calls.get(i - 1).token());
        }
        group.calls.forEach(call -> assertThat(call.window().countByWorkspace())
                .isEqualTo(
                        group.state.find(call.window().window()).orElseThrow().countByWorkspace()));
    }

    /** Guards against windows that are skipped, reported twice, or reported with the counts of one gateway only. */
    @Test
    void reportsEachWindowOnceWithTheSumOfAllGateways() {
        try (Member member = leader("a")) {
            member.run(40_000, 3);
            List<Long> windows =
                    group.calls.stream().map(call -> call.window().window()).toList();
            assertThat(windows.size()).isAtLeast(6);
            for (int i = 1; i < windows.size(); i++) {
                assertThat(windows.get(i)).isEqualTo(windows.get(i - 1) + 1);
            }
            group.calls.forEach(
                    call -> assertThat(call.window().countByWorkspace()).containsExactly("hule930", 12L));
        }
    }

    /** Guards against a holder that is frozen after its decision and calls when a successor already reports. */
    @ParameterizedTest
    @CsvSource({"30000, 0", "0, 30000", "600, 0", "0, 1100"})
    void holderFrozenBeforeItsCallDoesNotCall(long inConfirmMillis, long beforeSendMillis) {
        try (Member frozen = leader("a")) {
            frozen.frozenInConfirmMillis = inConfirmMillis;
            frozen.frozenBeforeSendMillis = beforeSendMillis;
            frozen.run(20_000, 3);
            assertThat(group.calls).isEmpty();
            assertThat(group.state.windows()).isNotEmpty();
        }
    }

    /** Guards against a report that is lost or different when the holder is killed after the call. */
    @Test
    void successorRepeatsTheReportOfAHolderKilledBeforeTheMark() {
        try (Member killed = leader("a")) {
            group.marksAreLost = true;
            while (group.calls.isEmpty()) {
                killed.run(100, 3);
            }
        }
        Call unmarked = group.calls.get(0);
        group.marksAreLost = false;
        try (Member successor = leader("b")) {
            // The successor has other counts than those that are stored.
            successor.run(30_000, 7);
        }
        List<Call> repeated = group.calls.stream()
                .filter(call -> call.holder().equals("b")
                        && call.window().window() == unmarked.window().window())
                .toList();
        assertThat(repeated).hasSize(1);
        assertThat(repeated.get(0).window()).isEqualTo(unmarked.window());
        assertThat(repeated.get(0).token()).isGreaterThan(unmarked.token());
        assertThat(repeated.get(0).atMillis() - unmarked.atMillis()).isAtLeast(LEASE_MILLIS + CALL_DELAY_MILLIS);
        assertCallsAreConsistent();
    }

    /** Guards against an open window that neither the former nor the new leader reports. */
    @Test
    void leaderChangeWithAnOpenWindowLeavesNoGap() {
        try (Member former = leader("a");
                Member successor = new Member("b")) {
            former.run(12_300, 3);
            group.leader = "b";
            successor.run(25_000, 3);
            former.run(1_000, 3);
            List<Long> windows = group.calls.stream()
                    .map(call -> call.window().window())
                    .distinct()
                    .toList();
            for (int i = 1; i < windows.size(); i++) {
                assertThat(windows.get(i)).isEqualTo(windows.get(i - 1) + 1);
            }
            long lastWindow = windows.get(windows.size() - 1);
            long dueWindow = (TRUE_START_MILLIS + group.nowMillis - 10_000) / WINDOW_MILLIS - 1;
            assertThat(lastWindow).isAtLeast(dueWindow);
            assertThat(group.calls.get(group.calls.size() - 1).holder()).isEqualTo("b");
            assertCallsAreConsistent();
        }
    }

    /** Guards against a holder that continues after a refusal, or repeats it faster than the platform allows. */
    @ParameterizedTest
    @EnumSource(
            value = UsageReportOutcome.class,
            names = {"FENCED", "THROTTLED", "REFUSED", "UNKNOWN"})
    void backsOffAfterAFailureAndReportsLater(UsageReportOutcome failure) {
        try (Member member = leader("a")) {
            member.outcome = failure;
            member.run(20_000, 3);
            int failed = group.calls.size();
            assertThat(failed).isAtLeast(1);
            assertThat(failed).isAtMost(20);
            long tokens = group.calls.stream().map(Call::token).distinct().count();
            assertThat(tokens).isEqualTo(failure == UsageReportOutcome.FENCED ? failed : 1);
            member.outcome = UsageReportOutcome.ACCEPTED;
            member.run(15_000, 3);
            assertThat(group.state.windows().get(0).reported()).isTrue();
            assertCallsAreConsistent();
        }
    }

    /** Guards against an exception, an error or a lost mark that ends the reports, or repeats a call every 100 ms. */
    @ParameterizedTest
    @ValueSource(strings = {"exception", "error", "mark", "close"})
    void unexpectedFailureOfAPassBacksOff(String kind) {
        try (Member member = leader("a")) {
            member.outcome = UsageReportOutcome.UNKNOWN;
            member.run(13_000, 3);
            group.closeFails = kind.equals("close");
            member.run(6_000, 3);
            member.outcome = UsageReportOutcome.ACCEPTED;
            group.calls.clear();
            member.failure = kind.equals("exception") ? new IllegalStateException("not expected") : null;
            member.failure = kind.equals("error") ? new StackOverflowError() : member.failure;
            group.marksAreLost = kind.equals("mark");
            member.run(20_000, 3);
            assertThat(group.calls.size()).isAtLeast(1);
            assertThat(group.calls.size()).isAtMost(15);
            member.failure = null;
            group.marksAreLost = false;
            group.closeFails = false;
            member.run(15_000, 3);
            assertThat(group.state.windows().stream()
                            .filter(window -> !window.reported())
                            .count())
                    .isAtMost(1);
            assertCallsAreConsistent();
        }
    }
}
