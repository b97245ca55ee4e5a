package org.wagtailcart.entry.answer;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;

/** JSON body of a refusal and of an error event. */
record ErrorBody(Details error) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Details of a refusal.
     *
     * @param code number of the result code
     * @param type name of the result code
     * @param message text for people
     * @param runState whether the work ran
     * @param repeatSafe whether the same request may be repeated
     */
    record Details(
            int code,
            String type,
            String message,
            @JsonProperty("run_state") String runState,
            @JsonProperty("repeat_safe") boolean repeatSafe) {}

    static byte[] toJson(ErrorResponse refusal) {
        Details details = new Details(
                refusal.code().number(),
                SettingNames.of(refusal.code()),
                refusal.message(),
                SettingNames.of(refusal.runState()),
                refusal.repeatSafe());
        try {
            return MAPPER.writeValueAsBytes(new ErrorBody(details));
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "cannot write an error body", e);
        }
    }
}
