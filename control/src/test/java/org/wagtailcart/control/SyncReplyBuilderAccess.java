package org.wagtailcart.control;

import java.util.List;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.wire.MessageCodec;

/** Gives tests in other packages access to {@link SyncReplyBuilder}. */
public final class SyncReplyBuilderAccess {
    private final SyncReplyBuilder builder;

    public SyncReplyBuilderAccess(MessageCodec codec) {
        builder = new SyncReplyBuilder(codec);
    }

    public Record buildReply(SyncRequest request, PublishedState state) {
        return builder.buildReply(request, state, 0, List.of(), "", 1);
    }
}
