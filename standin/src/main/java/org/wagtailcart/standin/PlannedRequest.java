package org.wagtailcart.standin;

import org.wagtailcart.common.Address;

/**
 * One request of a load.
 *
 * @param number index in order of arrival, from 0
 * @param atMillis time of arrival since the start of the load
 * @param requestClass kind of request
 * @param entry entry that receives it
 * @param prompt prompt; not sent by a call with an idempotency key
 * @param outputTokens tokens to generate
 */
record PlannedRequest(
        int number, long atMillis, RequestClass requestClass, Address entry, String prompt, int outputTokens) {}
