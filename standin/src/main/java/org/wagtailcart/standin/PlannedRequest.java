package org.wagtailcart.standin;

import org.wagtailcart.common.Address;

/**
 * One request of a load.
 *
 * @param number 0, 1, 2, ...
 * @param atMillis time of its arrival after the start
 * @param requestClass kind of request
 * @param entry entry that gets it
 * @param prompt prompt, or body of a keyed call
 * @param outputTokens tokens to generate
 */
record PlannedRequest(
        int number, long atMillis, RequestClass requestClass, Address entry, String prompt, int outputTokens) {}
