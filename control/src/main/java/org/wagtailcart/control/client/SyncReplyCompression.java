package org.wagtailcart.control.client;

import java.util.List;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.wire.MessageCodec;

/** Compresses large sync replies and decompresses them. */
public final class SyncReplyCompression {
    private static final int BODY_TYPE = 511;

    private SyncReplyCompression() {}

    /** Returns the reply with its edits and upstreams encoded and deflated. */
    public static DeflatedSyncReply compress(MessageCodec codec, SyncReply reply) {
        byte[] body = codec.encode(new SyncBody(reply.edits(), reply.upstreams()));
        return new DeflatedSyncReply(withBody(reply, List.of(), List.of()), body.length, Deflation.deflate(body));
    }

    /**
     * Returns the reply from its plain or its compressed form.
     *
     * @throws WagtailcartException with {@link ResultCode#UNKNOWN_MESSAGE} when the message is no sync reply
     */
    public static SyncReply decompress(MessageCodec codec, Record message) {
        if (message instanceof SyncReply reply) {
            return reply;
        }
        if (message instanceof DeflatedSyncReply deflated) {
            byte[] bytes = Deflation.inflate(deflated.deflatedBody(), deflated.inflatedBodyBytes());
            SyncBody body = (SyncBody) codec.decode(BODY_TYPE, bytes);
            return withBody(deflated.header(), body.edits(), body.upstreams());
        }
        throw new WagtailcartException(
                ResultCode.UNKNOWN_MESSAGE,
                "unexpected reply to a sync, of type " + message.getClass().getSimpleName());
    }

    private static SyncReply withBody(SyncReply reply, List<SettingsEdit> edits, List<UpstreamView> upstreams) {
        return new SyncReply(
                reply.revision(),
                reply.full(),
                edits,
                reply.fleetVersion(),
                upstreams,
                reply.removedUpstreamIds(),
                reply.confirmationAgeMillis(),
                reply.grants(),
                reply.leaderAddress(),
                reply.entryCount());
    }
}
