package org.wagtailcart.sidecar.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Parser for the fields of a completion request that the sidecar evaluates. */
final class CompletionFields {
    private static final JsonFactory FACTORY = new JsonFactory();

    private CompletionFields() {}

    /** Returns whether the request is for an event stream; false for a malformed body, which the engine rejects. */
    static boolean isStreamed(byte[] body) {
        try (JsonParser parser = FACTORY.createParser(body)) {
            return parser.nextToken() == JsonToken.START_OBJECT && findStream(parser);
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean findStream(JsonParser parser) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean found = "stream".equals(parser.currentName());
            JsonToken value = parser.nextToken();
            if (found) {
                return value == JsonToken.VALUE_TRUE;
            }
            parser.skipChildren();
        }
        return false;
    }
}
