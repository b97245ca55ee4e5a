package org.wagtailcart.control.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A response.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param headers further headers
 * @param body body
 */
record OperatorReply(int status, String contentType, Map<String, String> headers, byte[] body) {
    static OperatorReply json(byte[] body) {
        return new OperatorReply(200, "application/json", Map.of(), body);
    }

    static OperatorReply text(String text, Map<String, String> headers) {
        return new OperatorReply(200, "text/plain; charset=utf-8", headers, text.getBytes(StandardCharsets.UTF_8));
    }
}
