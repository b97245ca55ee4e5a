package org.wagtailcart.entry.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Parsed body of a completion request. Unknown fields are forwarded unchanged.
 *
 * @param body JSON body
 * @param model model name
 * @param streamRequested whether an event stream is requested
 * @param estimatedPromptTokens estimated number of prompt tokens
 * @param maxOutputTokens maximum number of output tokens
 * @param prefixHashes hashes of the prompt's prefix blocks, shortest first
 */
public record CompletionRequest(
        ObjectNode body,
        String model,
        boolean streamRequested,
        int estimatedPromptTokens,
        int maxOutputTokens,
        List<Long> prefixHashes) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CHARS_PER_TOKEN = 4;
    private static final int PREFIX_BLOCK_CHARS = 1024;
    private static final int MAX_PREFIX_BLOCKS = 32;
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    /**
     * Parses the body of a completion request.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when it is not a completion request
     */
    public static CompletionRequest parse(byte[] bytes) {
        if (!(read(bytes) instanceof ObjectNode body)) {
            throw invalid("body is not a JSON object");
        }
        JsonNode model = body.path("model");
        if (!model.isTextual() || model.textValue().isEmpty()) {
            throw invalid("field \"model\" is " + model + "; a model name is accepted");
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw invalid("field \"stream\" is " + stream + "; true or false is accepted");
        }
        String prompt = promptText(body);
        return new CompletionRequest(
                body,
                model.textValue(),
                stream.asBoolean(false),
                prompt.length() / CHARS_PER_TOKEN + 1,
                maxOutputTokens(body),
                prefixHashes(prompt));
    }

    /** Returns the body for an engine, which resumes after the given number of tokens unless it is 0. */
    public byte[] bodyForEngine(Priority priority, long resumeFrom) {
        return write(engineBody(priority, resumeFrom));
    }

    /** Returns the body for a decode engine that imports the KV cache of a prefill engine. */
    public byte[] bodyForDecode(Priority priority, long resumeFrom, Address prefillEngine, String prefillRequestId) {
        ObjectNode copy = engineBody(priority, resumeFrom);
        copy.putObject("kv_source").put("address", prefillEngine.toString()).put("request_id", prefillRequestId);
        return write(copy);
    }

    /** Returns the body for a prefill engine that only processes the prompt and retains its KV cache. */
    public byte[] bodyForPrefill(Priority priority) {
        ObjectNode copy = engineBody(priority, 0);
        copy.put("hold_kv", true).put("max_tokens", 0).put("stream", false);
        return write(copy);
    }

    private ObjectNode engineBody(Priority priority, long resumeFrom) {
        ObjectNode copy = body.deepCopy();
        copy.remove(List.of("resume_from", "kv_source", "hold_kv"));
        copy.put("priority", priority.rank());
        if (resumeFrom > 0) {
            copy.put("resume_from", resumeFrom);
        }
        return copy;
    }

    private static JsonNode read(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw invalid("body is not JSON");
        }
    }

    private static byte[] write(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(
                    ResultCode.INTERNAL_ERROR, "cannot encode the body of a completion request", e);
        }
    }

    private static int maxOutputTokens(ObjectNode body) {
        JsonNode limit = body.path(body.has("max_tokens") ? "max_tokens" : "max_completion_tokens");
        if (limit.isMissingNode() || limit.isNull()) {
            return DEFAULT_OUTPUT_TOKENS;
        }
        if (!limit.canConvertToInt() || limit.intValue() < 0) {
            throw invalid("field \"max_tokens\" is " + limit + "; an integer from 0 is accepted");
        }
        return limit.intValue();
    }

    private static String promptText(ObjectNode body) {
        StringBuilder text = new StringBuilder();
        appendText(body.path("prompt"), text);
        body.path("messages").forEach(message -> appendText(message.path("content"), text.append('\n')));
        return text.toString();
    }

    private static void appendText(JsonNode node, StringBuilder text) {
        if (node.isTextual()) {
            text.append(node.textValue());
        } else if (node.isContainerNode()) {
            node.forEach(part -> appendText(part.isObject() ? part.path("text") : part, text));
        }
    }

    private static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = 0xcbf29ce484222325L;
        int blocks = Math.min(MAX_PREFIX_BLOCKS, prompt.length() / PREFIX_BLOCK_CHARS);
        for (int i = 0; i < blocks * PREFIX_BLOCK_CHARS; i++) {
            hash = (hash ^ prompt.charAt(i)) * 0x100000001b3L;
            if ((i + 1) % PREFIX_BLOCK_CHARS == 0) {
                hashes.add(hash);
            }
        }
        return List.copyOf(hashes);
    }

    private static WagtailcartException invalid(String text) {
        return new WagtailcartException(ResultCode.INVALID_ARGUMENT, text);
    }
}
