package org.wagtailcart.gateway.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.FindOrigin;
import org.wagtailcart.control.client.FoundOrigin;
import org.wagtailcart.control.client.OriginsRecorded;
import org.wagtailcart.control.client.RecordOrigins;
import org.wagtailcart.control.stream.OriginHandler;
import org.wagtailcart.policy.stream.StreamOrigin;

/** Guards against a stream whose origin is lost with a gateway or with some of the control members. */
class StreamOriginClientTest {
    private static final StreamOrigin V1 = new StreamOrigin("brain", "v1");
    private static final int MEMBERS = 5;

    private final MillisClock clock = MillisClock.monotonic();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final List<Address> addresses = IntStream.rangeClosed(1, MEMBERS)
            .mapToObj(port -> new Address("127.0.0.1", port))
            .toList();
    private final Map<Address, OriginHandler> members =
            addresses.stream().collect(Collectors.toMap(address -> address, address -> new OriginHandler(clock)));
    private final Set<Address> lost = ConcurrentHashMap.newKeySet();

    private final StreamOriginClient.Transport transport = new StreamOriginClient.Transport() {
        @Override
        public CompletableFuture<OriginsRecorded> record(Address member, RecordOrigins request, long timeoutMillis) {
            return lost.contains(member)
                    ? CompletableFuture.failedFuture(new IllegalStateException("lost"))
                    : CompletableFuture.completedFuture(members.get(member).record(request));
        }

        @Override
        public CompletableFuture<FoundOrigin> find(Address member, FindOrigin request, long timeoutMillis) {
            return lost.contains(member)
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(members.get(member).find(request));
        }
    };

    private StreamOriginClient gateway(String id) {
        return new StreamOriginClient(id, transport, () -> addresses, timer, timer, clock);
    }

    private void awaitRecorded(int expectedMembers) throws InterruptedException {
        for (int i = 0; i < 1_000 && countRecorded() < expectedMembers; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(countRecorded()).isEqualTo(expectedMembers);
    }

    private long countRecorded() {
        return members.values().stream().filter(member -> member.size() > 0).count();
    }

    @AfterEach
    void stop() {
        timer.shutdownNow();
    }

    /** The members that are lost answer nothing, first while the origin is sent and then while it is looked for. */
    @ParameterizedTest
    @CsvSource({"0, 0, true", "2, 0, true", "0, 4, true", "4, 0, true", "0, 5, false"})
    void anOriginIsFoundThroughTheMembersThatAreLeft(int lostAtFirst, int lostLater, boolean found) throws Exception {
        lost.addAll(addresses.subList(0, lostAtFirst));
        gateway("g-1").record("r-1", V1, clock.nowMillis() + 5_000);
        awaitRecorded(MEMBERS - lostAtFirst);
        lost.clear();
        lost.addAll(addresses.subList(0, lostLater));
        StreamOriginClient other = gateway("g-2");
        assertThat(other.find("r-2").isPresent()).isFalse();
        assertThat(other.find("r-1").equals(Optional.of(V1))).isEqualTo(found);
    }

    /** Guards against origins that are lost because no member answered when the stream began. */
    @Test
    void anOriginIsSentAgainUntilAMemberHasIt() throws Exception {
        lost.addAll(addresses);
        StreamOriginClient first = gateway("g-1");
        first.record("r-1", V1, clock.nowMillis() + 60_000);
        assertThat(first.find("r-1").orElseThrow()).isEqualTo(V1);
        TimeUnit.MILLISECONDS.sleep(50);
        lost.clear();
        awaitRecorded(MEMBERS);
        assertThat(gateway("g-2").find("r-1").orElseThrow()).isEqualTo(V1);
    }
}
