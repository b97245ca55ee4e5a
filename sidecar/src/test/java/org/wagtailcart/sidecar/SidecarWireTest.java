package org.wagtailcart.sidecar;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptQuery;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.sidecar.message.SidecarMessages;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.Call;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerServer;
import org.wagtailcart.wire.StreamListener;
import org.wagtailcart.wire.WireOptions;

/** Guards the messages of a sidecar over real peer connections. */
class SidecarWireTest {
    private final SidecarFixture fixture = new SidecarFixture(options -> options);
    private final MessageCodec codec = new MessageCodec(List.of(SidecarMessages.TYPES));
    private final IoLoop loop = new IoLoop("test-io");
    private final Address address = TestAddresses.free();
    private final PeerServer server = new PeerServer(
            loop, address, codec, fixture.dispatcher, fixture.traffic, WireOptions.standard(), fixture.registry);
    private final PeerClient client =
            new PeerClient(loop, codec, fixture.traffic, WireOptions.standard(), fixture.registry);

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
        loop.close();
        fixture.close();
    }

    private static final class Listener implements StreamListener {
        private final Queue<Object> events = new ConcurrentLinkedQueue<>();
        private final CompletableFuture<AttemptEnd> end = new CompletableFuture<>();

        @Override
        public void onEvent(Object event) {
            events.add(event);
        }

        @Override
        public void onEnd(Object reply) {
            end.complete((AttemptEnd) reply);
        }

        @Override
        public void onFailure(WagtailcartException error) {
            end.completeExceptionally(error);
        }
    }

    /**
     * Guards against messages that cannot be encoded, and against chunk counts that differ from what an entry receives.
     */
    @Test
    void streamAndQueryPassTheWire() throws Exception {
        Listener listener = new Listener();
        Call unused = client.open(address, fixture.streamedCompletion("w1", 200), listener);
        AttemptEnd end = listener.end.get(60, TimeUnit.SECONDS);
        assertThat(end.chunks()).isEqualTo(listener.events.size() - 1);
        AttemptRequest booking = fixture.nonIdempotentCall("w2");
        AttemptQuery query = new AttemptQuery("w2", booking.attemptNumber(), booking.epoch(), "s");
        AttemptStatus status =
                client.call(address, query, AttemptStatus.class, 60_000).get(60, TimeUnit.SECONDS);
        assertThat(status.state()).isEqualTo(AttemptStatus.State.NOT_SENT);
        assertThat(status.response()).isNull();
    }

    /** Guards against a stream that continues at the engine after its entry was killed. */
    @Test
    void lostEntryCancelsItsStreams() throws Exception {
        Listener listener = new Listener();
        Call unused = client.open(address, fixture.streamedCompletion("w3", 1_000_000), listener);
        SidecarFixture.await(() -> listener.events.size() > 3);
        client.close();
        SidecarFixture.await(() -> fixture.engine.inFlight() == 0);
        SidecarFixture.await(
                () -> fixture.registry.counter("sidecar.attempt.caller-gone").getCount() == 1);
    }
}
