package org.wagtailcart.control.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.control.usage.UsageObserver;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.wire.Exchange;

/** Guards against polls that are never replied to. */
class WatchHandlerTest {
    private long nowMillis = 1_000;

    private static final class RecordingExchange implements Exchange {
        private final boolean fails;
        private final List<Object> replies = new ArrayList<>();
        private final List<WagtailcartException> errors = new ArrayList<>();

        RecordingExchange(boolean fails) {
            this.fails = fails;
        }

        @Override
        public String peer() {
            return "test";
        }

        @Override
        public void send(Object event) {}

        @Override
        public void finish(Object response) {
            if (fails) {
                throw new IllegalStateException("reply cannot be encoded");
            }
            replies.add(response);
        }

        @Override
        public void fail(WagtailcartException error) {
            errors.add(error);
        }

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public boolean isCancelled() {
            return false;
        }
    }

    private WatchHandler handler() {
        Member self = new Member("m", 1, new Address("10.0.1.1", 7000), true);
        RaftStatus status = new RaftStatus(
                self, RaftStatus.Role.LEADER, 1, Optional.of(self), 0, 0, 0, 0, new Membership(0, List.of(self)));
        return new WatchHandler(
                () -> RouteTable.EMPTY,
                () -> status,
                () -> 0L,
                new HostListCache(),
                new UsageObserver("m", () -> nowMillis),
                () -> nowMillis);
    }

    /** Guards against gateways that lose their replies because one to another gateway fails. */
    @Test
    void aReplyThatFailsDoesNotCostTheOthersTheirs() {
        WatchHandler handler = handler();
        RecordingExchange failing = new RecordingExchange(true);
        RecordingExchange other = new RecordingExchange(false);
        handler.handle(failing, new WatchRequest("g1", 0, 0, List.of(), List.of(), 0, 0, null, null));
        handler.handle(other, new WatchRequest("g2", 0, 0, List.of(), List.of(), 0, 0, null, null));
        nowMillis += WatchHandler.LONG_POLL_MILLIS;
        handler.replyDue();
        assertThat(other.replies).hasSize(1);
        assertThat(failing.errors).hasSize(1);
    }
}
