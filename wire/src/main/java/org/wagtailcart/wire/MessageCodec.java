package org.wagtailcart.wire;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Codec between registered record classes and MessagePack arrays. Thread-safe. */
public final class MessageCodec {
    private final Map<Integer, MessageType> typesByNumber;
    private final Map<Class<?>, MessageType> typesByClass;
    private final ObjectMapper mapper;

    /**
     * Creates a codec for the given message types.
     *
     * @throws IllegalStateException when two message types share a number or a class
     */
    public MessageCodec(List<List<MessageType>> types) {
        typesByNumber = types.stream()
                .flatMap(Collection::stream)
                .collect(Collectors.toUnmodifiableMap(MessageType::number, Function.identity()));
        typesByClass = typesByNumber.values().stream()
                .collect(Collectors.toUnmodifiableMap(MessageType::recordClass, Function.identity()));
        mapper = new ObjectMapper(new MessagePackFactory());
        mapper.setAnnotationIntrospector(new JsonArrayFormat());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /**
     * Returns the type number of a record.
     *
     * @throws IllegalArgumentException when its class is not registered
     */
    public int typeNumber(Object message) {
        MessageType type = typesByClass.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException("message class " + message.getClass() + " is not registered");
        }
        return type.number();
    }

    ErrorMessage decodeError(byte[] bytes) {
        try {
            return mapper.readValue(bytes, ErrorMessage.class);
        } catch (IOException e) {
            throw new WagtailcartException(
                    ResultCode.FRAME_MALFORMED, "payload of an ERROR frame cannot be decoded", e);
        }
    }

    /** Encodes a record without its type number. */
    public byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "cannot encode " + message.getClass(), e);
        }
    }

    /**
     * Decodes a record of the given type.
     *
     * @throws WagtailcartException with {@link ResultCode#UNKNOWN_MESSAGE} for an unregistered number, with
     *     {@link ResultCode#FRAME_MALFORMED} when the bytes are not an encoded record of that type
     */
    public Object decode(int typeNumber, byte[] bytes) {
        MessageType type = typesByNumber.get(typeNumber);
        if (type == null) {
            throw new WagtailcartException(ResultCode.UNKNOWN_MESSAGE, "message type " + typeNumber + " is unknown");
        }
        try {
            Object message = mapper.readValue(bytes, type.recordClass());
            if (message == null) {
                throw new WagtailcartException(ResultCode.FRAME_MALFORMED, "message type " + typeNumber + " is nil");
            }
            return message;
        } catch (IOException e) {
            throw new WagtailcartException(
                    ResultCode.FRAME_MALFORMED, "message type " + typeNumber + " cannot be decoded", e);
        }
    }
}
