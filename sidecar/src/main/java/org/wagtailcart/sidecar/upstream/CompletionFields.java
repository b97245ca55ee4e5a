package org.wagtailcart.sidecar.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Fields of a completion request that the sidecar evaluates.
 *
 * @param streamed whether the request is for an event stream
 * @param resumeFrom index of the first token of the response
 */
record CompletionFields(boolean streamed, long resumeFrom) {
    /** Fields of a request that does not name them. */
    static final CompletionFields DEFAULTS = new CompletionFields(false, 0);

    private static final JsonFactory FACTORY = new JsonFactory();

    /** Parses the body of a request; returns the default values for a malformed body, which the engine rejects. */
    static CompletionFields parse(byte[] body) {
        try (JsonParser parser = FACTORY.createParser(body)) {
            return parser.nextToken() == JsonToken.START_OBJECT ? read(parser) : DEFAULTS;
        } catch (IOException e) {
            return DEFAULTS;
        }
    }

    private static CompletionFields read(JsonParser parser) throws IOException {
        boolean streamed = false;
        long resumeFrom = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("stream")) {
                streamed = value == JsonToken.VALUE_TRUE;
            } else if (name.equals("resume_from") && value == JsonToken.VALUE_NUMBER_INT) {
                resumeFrom = parser.getLongValue();
            }
            parser.skipChildren();
        }
        return new CompletionFields(streamed, resumeFrom);
    }
}
