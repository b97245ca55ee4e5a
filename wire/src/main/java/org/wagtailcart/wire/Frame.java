package org.wagtailcart.wire;

/**
 * Unit of transfer on a peer connection.
 *
 * @param kind position of the frame in its exchange, or a heartbeat
 * @param exchangeId id of the exchange on its connection, 0 for a heartbeat
 * @param typeNumber message type of the payload, 0 for none
 * @param payload encoded record, or no bytes
 */
record Frame(FrameKind kind, long exchangeId, int typeNumber, byte[] payload) {
    private static final byte[] EMPTY = {};

    static Frame withoutPayload(FrameKind kind, long exchangeId) {
        return new Frame(kind, exchangeId, 0, EMPTY);
    }
}
