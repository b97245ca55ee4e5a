package org.wagtailcart.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.FindOrigin;
import org.wagtailcart.control.client.FoundOrigin;
import org.wagtailcart.control.client.OriginsRecorded;
import org.wagtailcart.control.client.RecordOrigins;
import org.wagtailcart.control.client.RecordedOrigin;
import org.wagtailcart.control.stream.OriginHandler;
import org.wagtailcart.gateway.stream.StreamOriginClient;

/** Control member that keeps the origins of streams within the process of a test. */
public final class TestOriginMember implements StreamOriginClient.Transport {
    private final OriginHandler handler = new OriginHandler(MillisClock.monotonic());
    private final BooleanSupplier replies;

    /** Creates a member that replies while a condition holds. */
    public TestOriginMember(BooleanSupplier replies) {
        this.replies = replies;
    }

    /** Records an origin as another gateway does. */
    void recordFromOtherGateway(RecordedOrigin origin) {
        handler.record(new RecordOrigins("other", java.util.List.of(origin)));
    }

    @Override
    public CompletableFuture<OriginsRecorded> record(Address member, RecordOrigins request, long timeoutMillis) {
        return replies.getAsBoolean()
                ? CompletableFuture.completedFuture(handler.record(request))
                : CompletableFuture.failedFuture(new IllegalStateException("partitioned"));
    }

    @Override
    public CompletableFuture<FoundOrigin> find(Address member, FindOrigin request, long timeoutMillis) {
        return replies.getAsBoolean()
                ? CompletableFuture.completedFuture(handler.find(request))
                : CompletableFuture.failedFuture(new IllegalStateException("partitioned"));
    }
}
