package org.wagtailcart.control.client;

import java.util.List;

/**
 * News that an engine reads prompt parts that it did not hold before.
 *
 * @param instanceId the engine
 * @param partIds identities of the parts, in order
 * @param partTokens their sizes
 */
public record PrefixNote(String instanceId, List<String> partIds, List<Integer> partTokens) {}
