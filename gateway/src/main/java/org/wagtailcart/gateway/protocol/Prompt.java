package org.wagtailcart.gateway.protocol;

import java.util.List;
import org.wagtailcart.policy.placement.PrefixCache;

/**
 * What a request for generated text says of its size.
 *
 * @param model name of the model
 * @param promptTokens tokens of the whole prompt
 * @param maxOutputTokens tokens that may be generated at most
 * @param parts the prompt in order; the last part belongs to the request or its session alone
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<PrefixCache.Part> parts) {
    /** Returns the parts that other requests may have in common with this one. */
    public List<PrefixCache.Part> sharedParts() {
        return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
    }
}
