package org.wagtailcart.daemon;

import java.util.concurrent.CompletableFuture;
import org.wagtailcart.common.Address;
import org.wagtailcart.control.client.FindOrigin;
import org.wagtailcart.control.client.FoundOrigin;
import org.wagtailcart.control.client.OriginsRecorded;
import org.wagtailcart.control.client.RecordOrigins;
import org.wagtailcart.gateway.stream.StreamOriginClient;
import org.wagtailcart.wire.PeerClient;

/** Carries the origins of streams over the connections to control members. */
final class PeerOriginTransport implements StreamOriginClient.Transport {
    private final PeerClient peers;

    PeerOriginTransport(PeerClient peers) {
        this.peers = peers;
    }

    @Override
    public CompletableFuture<OriginsRecorded> record(Address member, RecordOrigins request, long timeoutMillis) {
        return peers.call(member, request, OriginsRecorded.class, timeoutMillis);
    }

    @Override
    public CompletableFuture<FoundOrigin> find(Address member, FindOrigin request, long timeoutMillis) {
        return peers.call(member, request, FoundOrigin.class, timeoutMillis);
    }
}
