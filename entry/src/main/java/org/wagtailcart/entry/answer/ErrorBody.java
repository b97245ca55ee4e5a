package org.wagtailcart.entry.answer;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;

/** JSON body of an error response and of an error event. */
record ErrorBody(Details error) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Details of an error.
     *
     * @param code number of the result code
     * @param type name of the result code
     * @param message text for people
     * @param runState whether the work ran
     * @param repeatSafe whether the same request may safely be repeated
     */
    record Details(
            int code,
            String type,
            String message,
            @JsonProperty("run_state") String runState,
            @JsonProperty("repeat_safe") boolean repeatSafe) {}

    static byte[] toJson(ErrorResponse error) {
        Details details = new Details(
                error.code().number(),
                SettingNames.of(error.code()),
                error.message(),
                SettingNames.of(error.runState()),
                error.repeatSafe());
        try {
            return MAPPER.writeValueAsBytes(new ErrorBody(details));
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "cannot encode an error body", e);
        }
    }
}
