package org.wagtailcart.control.capacity;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.control.orders.Leadership;
import org.wagtailcart.control.orders.OrderLease;
import org.wagtailcart.control.orders.OrderLeaseHolder;
import org.wagtailcart.control.orders.PlatformCallLimiter;
import org.wagtailcart.control.watch.ReportedLoad;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.capacity.OrderResult;
import org.wagtailcart.policy.capacity.ReplicaLimits;
import org.wagtailcart.routes.RequestLimits;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.routes.ServiceSpec;

/** Guards against orders of a process that is not the holder, in the wrong sequence, or faster than is allowed. */
class CapacityControllerTest {
    private static final ReplicaLimits LIMITS = new ReplicaLimits(2, 8, 4_500);
    private static final int SLOTS = 6;
    private static final long LEASE_MILLIS = 3_000;
    /** Longest time between the confirmation of a holder and the arrival of its call. */
    private static final long CALL_DELAY_MILLIS = 1_500;
    /** Time for which a call without a response may still be carried out. */
    private static final long UNANSWERED_MILLIS = 15_000;

    private record Call(String holder, long token, String domain, int replicas, long atMillis) {}

    private long nowMillis = 1_000_000;
    private OrderLease lease = OrderLease.NONE;
    private String leader = "a";
    private @Nullable ReplicaLimits limits = LIMITS;
    private int gateways = 3;
    /** Requests in flight in each failure domain. */
    private int requests;

    private final Map<String, Integer> replicasByDomain = new TreeMap<>(Map.of("east", 4));
    private final List<Call> calls = new ArrayList<>();

    private List<ListedUpstream> hostList() {
        return replicasByDomain.entrySet().stream()
                .flatMap(entry -> IntStream.range(0, entry.getValue())
                        .mapToObj(i -> new ListedUpstream(
                                entry.getKey() + i,
                                "stock",
                                new Address("10.0.0.1", 80),
                                entry.getKey(),
                                SLOTS,
                                false,
                                null)))
                .toList();
    }

    private ReportedLoad load() {
        Map<String, Integer> work = new HashMap<>();
        replicasByDomain.forEach((domain, count) ->
                IntStream.range(0, requests).forEach(i -> work.merge(domain + i % count, 1, Integer::sum)));
        return new ReportedLoad(gateways, work, List.of());
    }

    /** A control member. Its calls take no time unless it is frozen. */
    private final class Member implements Leadership, AutoCloseable {
        private final String id;
        private long frozenBeforeConfirmMillis;
        private long frozenInConfirmMillis;
        private long frozenBeforeSendMillis;
        private boolean nextCallHangs;
        private OrderResult result = OrderResult.ACCEPTED;
        private final PlatformCallLimiter limiter = new PlatformCallLimiter();
        private final CapacityController controller;

        Member(String id) {
            this.id = id;
            this.controller = new CapacityController(
                    id,
                    new OrderLeaseHolder(id, this, LEASE_MILLIS, () -> nowMillis),
                    limiter,
                    () -> new RouteTable(
                            1,
                            List.of(),
                            List.of(new ServiceSpec("stock", "/health", 96, null, limits)),
                            RequestLimits.DEFAULT,
                            null),
                    () -> Optional.of(hostList()),
                    CapacityControllerTest.this::load,
                    this::order,
                    new MetricRegistry(),
                    () -> nowMillis,
                    this::execute);
        }

        private void execute(Runnable call) {
            if (nextCallHangs) {
                nextCallHangs = false;
                return;
            }
            nowMillis += frozenBeforeConfirmMillis;
            call.run();
        }

        private OrderResult order(
                String holder, long token, String service, String domain, int replicas, long sendByMillis) {
            nowMillis += frozenBeforeSendMillis;
            if (nowMillis > sendByMillis) {
                return OrderResult.NOT_SENT;
            }
            calls.add(new Call(holder, token, domain, replicas, nowMillis));
            if (result == OrderResult.ACCEPTED) {
                replicasByDomain.put(domain, replicas);
            }
            return result;
        }

        void run(int seconds) {
            for (int i = 0; i < seconds; i++) {
                nowMillis += 1_000;
                controller.runOnce();
            }
        }

        void runUntilCall() {
            int before = calls.size();
            for (int i = 0; i < 60 && calls.size() == before; i++) {
                run(1);
            }
            assertThat(calls).hasSize(before + 1);
        }

        @Override
        public boolean isLeader() {
            return leader.equals(id);
        }

        @Override
        public CompletableFuture<Long> confirmLeadership() {
            nowMillis += frozenInConfirmMillis;
            return isLeader()
                    ? CompletableFuture.completedFuture(1L)
                    : CompletableFuture.failedFuture(new IllegalStateException("not the leader"));
        }

        @Override
        public OrderLease orderLease() {
            return lease;
        }

        @Override
        public CompletableFuture<OrderLease> acquireOrderLease(String holder) {
            lease = lease.grantedTo(holder);
            return CompletableFuture.completedFuture(lease);
        }

        @Override
        public void close() {
            controller.close();
        }
    }

    private Call lastCall() {
        return calls.get(calls.size() - 1);
    }

    /** Guards against a holder that is frozen after its decision and orders when a successor already does. */
    @ParameterizedTest
    @CsvSource({"30000, 0, 0", "1100, 0, 0", "0, 30000, 0", "0, 600, 0", "0, 0, 30000", "0, 0, 1100"})
    void holderFrozenBetweenDecisionAndCallSendsNothing(long beforeConfirm, long inConfirm, long beforeSend) {
        requests = 30;
        try (Member member = new Member("a")) {
            member.frozenBeforeConfirmMillis = beforeConfirm;
            member.frozenInConfirmMillis = inConfirm;
            member.frozenBeforeSendMillis = beforeSend;
            member.run(20);
            assertThat(calls).isEmpty();
            member.frozenBeforeConfirmMillis = 0;
            member.frozenInConfirmMillis = 0;
            member.frozenBeforeSendMillis = 0;
            member.run(10);
            assertThat(calls).isNotEmpty();
        }
    }

    /** Guards against a successor that orders beside the former leader, or what that one had decided. */
    @Test
    void successorWaitsAndDecidesAnew() {
        requests = 30;
        try (Member former = new Member("a");
                Member successor = new Member("b")) {
            former.runUntilCall();
            Call last = lastCall();
            leader = "b";
            requests = 46;
            successor.runUntilCall();
            assertThat(lastCall().holder()).isEqualTo("b");
            assertThat(lastCall().token()).isGreaterThan(last.token());
            assertThat(lastCall().atMillis() - last.atMillis()).isAtLeast(LEASE_MILLIS + CALL_DELAY_MILLIS);
            assertThat(lastCall().replicas()).isGreaterThan(last.replicas());
            int count = calls.size();
            former.run(10);
            assertThat(calls).hasSize(count);
        }
    }

    /** Guards against a newer number that a late execution of an unanswered call replaces for good. */
    @Test
    void unansweredCallThatIsCarriedOutLaterIsOvercome() {
        requests = 25;
        try (Member member = new Member("a")) {
            member.result = OrderResult.UNKNOWN;
            member.runUntilCall();
            Call first = lastCall();
            member.result = OrderResult.ACCEPTED;
            requests = 46;
            member.run(30);
            List<Call> others = calls.stream()
                    .filter(call -> call.replicas() != first.replicas())
                    .toList();
            assertThat(others).isNotEmpty();
            assertThat(others.get(0).atMillis() - first.atMillis()).isAtLeast(UNANSWERED_MILLIS);
            int ordered = lastCall().replicas();
            replicasByDomain.put("east", first.replicas());
            member.runUntilCall();
            assertThat(lastCall().replicas()).isEqualTo(ordered);
        }
    }

    /** Guards against an order that the platform accepted and lost. */
    @Test
    void orderIsRepeatedUntilTheHostListShowsIt() {
        requests = 30;
        try (Member member = new Member("a")) {
            member.runUntilCall();
            Call first = lastCall();
            replicasByDomain.put("east", 4);
            member.runUntilCall();
            assertThat(lastCall().replicas()).isEqualTo(first.replicas());
            assertThat(lastCall().atMillis() - first.atMillis()).isAtLeast(2 * LIMITS.bootMillis());
        }
    }

    /** Guards against a holder that continues after a refusal, or repeats it faster than the platform allows. */
    @ParameterizedTest
    @CsvSource({"FENCED", "THROTTLED", "REFUSED"})
    void backsOffAfterARefusalAndOrdersLater(OrderResult refusal) {
        requests = 30;
        try (Member member = new Member("a")) {
            member.result = refusal;
            member.runUntilCall();
            // Usage reports share the limit on the rate.
            assertThat(member.limiter.tryAcquire(0, nowMillis)).isEqualTo(refusal != OrderResult.THROTTLED);
            member.run(20);
            int refused = calls.size();
            assertThat(refused).isAtLeast(2);
            assertThat(refused).isAtMost(12);
            assertThat(calls.stream().map(Call::token).distinct().count())
                    .isEqualTo(refusal == OrderResult.FENCED ? refused : 1);
            member.result = OrderResult.ACCEPTED;
            member.run(40);
            assertThat(replicasByDomain.get("east")).isGreaterThan(4);
        }
    }

    /** Guards against an outage that is caused by a start, when gateways have not reported yet. */
    @ParameterizedTest
    @CsvSource({"5, 5", "8, 8", "1, 2"})
    void withoutKnownDemandNothingIsOrderedBelowThePresentNumber(int present, int expected) {
        replicasByDomain.put("east", present);
        gateways = 0;
        try (Member member = new Member("a")) {
            member.run(120);
            assertThat(calls).hasSize(present == expected ? 0 : 1);
            assertThat(replicasByDomain).containsExactly("east", expected);
        }
    }

    /** Guards against replicas that are removed while gateways without contact still send them requests. */
    @Test
    void lossOfAGatewayRestartsTheHoldTime() {
        replicasByDomain.put("east", 8);
        try (Member member = new Member("a")) {
            member.run(30);
            gateways = 2;
            member.run(40);
            assertThat(calls).isEmpty();
            member.run(20);
            assertThat(calls).isNotEmpty();
        }
    }

    /** Guards against calls and commands in a deployment whose operator set no limits. */
    @Test
    void withoutLimitsNothingIsDone() {
        limits = null;
        requests = 46;
        try (Member member = new Member("a")) {
            member.run(60);
            assertThat(calls).isEmpty();
            assertThat(lease).isEqualTo(OrderLease.NONE);
            assertThat(member.controller.dump().services()).isEmpty();
        }
    }

    /** Guards against a call without an end that stops the plans and the orders of other failure domains. */
    @Test
    void callWithoutAnEndBlocksNoOtherDecision() {
        replicasByDomain.put("west", 4);
        requests = 30;
        try (Member member = new Member("a")) {
            member.nextCallHangs = true;
            member.run(30);
            assertThat(calls.stream().map(Call::domain).distinct().toList()).containsExactly("west");
        }
    }
}
