package org.wagtailcart.control.http;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;

/** JSON codec for the request and response bodies. */
final class JsonCodec {
    private final ObjectMapper mapper = new ObjectMapper()
            .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .registerModule(new SimpleModule()
                    .addSerializer(Address.class, ToStringSerializer.instance)
                    .addSerializer(enumType(), new EnumNameSerializer()));

    byte[] write(Record body) {
        try {
            return mapper.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "response body cannot be written as JSON", e);
        }
    }

    /**
     * Returns the request body decoded from JSON.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT}; the message names the field
     */
    <T extends Record> T read(byte[] bytes, Class<T> type) {
        try {
            T body = mapper.readValue(bytes, type);
            if (body == null) {
                throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "body is null; expected a JSON object");
            }
            checkNoMissingFields(body);
            return body;
        } catch (JsonMappingException e) {
            String path = e.getPath().stream()
                    .map(element ->
                            element.getFieldName() == null ? "[" + element.getIndex() + "]" : element.getFieldName())
                    .collect(Collectors.joining("."));
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "body field \"" + path + "\": " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "body is not JSON: " + e.getMessage(), e);
        }
    }

    private static void checkNoMissingFields(Record body) {
        for (RecordComponent component : body.getClass().getRecordComponents()) {
            boolean optional = component.getAnnotatedType().isAnnotationPresent(Nullable.class);
            if (!optional && isNull(component, body)) {
                String name = PropertyNamingStrategies.SnakeCaseStrategy.INSTANCE.translate(component.getName());
                throw new WagtailcartException(
                        ResultCode.INVALID_ARGUMENT,
                        "body field \"" + name + "\" is missing; expected "
                                + component.getType().getSimpleName());
            }
        }
    }

    private static boolean isNull(RecordComponent component, Record body) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(body) == null;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    @SuppressWarnings("unchecked") // the class literal of a generic type has no other form
    private static Class<Enum<?>> enumType() {
        return (Class<Enum<?>>) (Class<?>) Enum.class;
    }

    private static final class EnumNameSerializer extends JsonSerializer<Enum<?>> {
        @Override
        public void serialize(Enum<?> value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(SettingNames.of(value));
        }
    }
}
