package org.wagtailcart.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Codec of frames. A frame is encoded as a 4-byte length and a MessagePack array of five values. */
final class FrameCodec {
    /** Version of the frame layout; a frame of another version is rejected. */
    static final int PROTOCOL_VERSION = 1;

    static final int LENGTH_BYTES = 4;
    private static final int FIELD_COUNT = 5;

    private final int maxFrameBytes;

    FrameCodec(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Returns an encoded frame with its length prefix.
     *
     * @throws WagtailcartException with {@link ResultCode#FRAME_TOO_LARGE} when the frame exceeds the limit
     */
    ByteBuffer encode(Frame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packInt(PROTOCOL_VERSION);
            packer.packInt(frame.kind().number());
            packer.packLong(frame.exchangeId());
            packer.packInt(frame.typeNumber());
            packer.packBinaryHeader(frame.payload().length);
            packer.writePayload(frame.payload());
            byte[] body = packer.toByteArray();
            checkSize(body.length);
            return ByteBuffer.allocate(LENGTH_BYTES + body.length)
                    .putInt(body.length)
                    .put(body)
                    .flip();
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "cannot encode a frame", e);
        }
    }

    /**
     * Decodes one frame from a buffer in read mode. Returns null and leaves the buffer unchanged while the frame is
     * incomplete.
     *
     * @throws WagtailcartException with a code from 2001 to 2003 when the bytes are not a valid frame
     */
    @Nullable
    Frame decode(ByteBuffer buffer) {
        if (buffer.remaining() < LENGTH_BYTES) {
            return null;
        }
        int length = buffer.getInt(buffer.position());
        checkSize(length);
        if (buffer.remaining() < LENGTH_BYTES + length) {
            return null;
        }
        buffer.position(buffer.position() + LENGTH_BYTES);
        byte[] body = new byte[length];
        buffer.get(body);
        return unpack(body);
    }

    private static Frame unpack(byte[] body) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            if (unpacker.unpackArrayHeader() != FIELD_COUNT) {
                throw malformed("frame has a wrong number of fields", null);
            }
            int version = unpacker.unpackInt();
            if (version != PROTOCOL_VERSION) {
                throw new WagtailcartException(
                        ResultCode.PROTOCOL_VERSION_MISMATCH,
                        "protocol version " + version + " is not supported; expected " + PROTOCOL_VERSION);
            }
            int kindNumber = unpacker.unpackInt();
            FrameKind kind = FrameKind.ofNumber(kindNumber)
                    .orElseThrow(() -> malformed("frame kind " + kindNumber + " is unknown", null));
            long exchangeId = unpacker.unpackLong();
            int typeNumber = unpacker.unpackInt();
            int payloadBytes = unpacker.unpackBinaryHeader();
            if (payloadBytes > body.length) {
                throw malformed("payload of " + payloadBytes + " bytes exceeds the size of its frame", null);
            }
            return new Frame(kind, exchangeId, typeNumber, unpacker.readPayload(payloadBytes));
        } catch (IOException | MessagePackException e) {
            throw malformed("frame cannot be decoded", e);
        }
    }

    private void checkSize(int length) {
        if (length < 1 || length > maxFrameBytes) {
            throw new WagtailcartException(
                    ResultCode.FRAME_TOO_LARGE,
                    "frame of " + length + " bytes is outside the range 1 to " + maxFrameBytes);
        }
    }

    private static WagtailcartException malformed(String message, @Nullable Exception cause) {
        return cause == null
                ? new WagtailcartException(ResultCode.FRAME_MALFORMED, message)
                : new WagtailcartException(ResultCode.FRAME_MALFORMED, message, cause);
    }
}
