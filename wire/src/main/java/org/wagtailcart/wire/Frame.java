package org.wagtailcart.wire;

/**
 * One frame of a connection.
 *
 * @param kind what the frame does
 * @param exchangeId identifies the exchange on its connection
 * @param typeNumber type of the payload, 0 for none
 * @param payload encoded record
 */
record Frame(FrameKind kind, long exchangeId, int typeNumber, byte[] payload) {
    private static final byte[] EMPTY = {};

    static Frame withoutPayload(FrameKind kind, long exchangeId) {
        return new Frame(kind, exchangeId, 0, EMPTY);
    }
}
