package org.wagtailcart.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Maps records to JSON with field names in snake case, and back. */
final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(
                    ResultCode.INTERNAL_ERROR, "failed to serialize to JSON: " + value.getClass(), e);
        }
    }

    /**
     * Parses a record; unknown fields are ignored.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the text is not valid JSON of that record
     */
    static <T> T read(byte[] text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "body is null");
            }
            return value;
        } catch (IOException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "body is not a valid " + type.getSimpleName() + ": " + e, e);
        }
    }
}
