package org.wagtailcart.control.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Response to an operator request.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param headers additional headers
 * @param body response body
 */
record OperatorResponse(int status, String contentType, Map<String, String> headers, byte[] body) {
    static OperatorResponse json(byte[] body) {
        return new OperatorResponse(200, "application/json", Map.of(), body);
    }

    static OperatorResponse text(String text, Map<String, String> headers) {
        return new OperatorResponse(200, "text/plain; charset=utf-8", headers, text.getBytes(StandardCharsets.UTF_8));
    }
}
