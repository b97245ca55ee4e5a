package org.wagtailcart.control.client;

/**
 * Asks the leader for the processes it knows from digests.
 *
 * @param memberId the asking member
 */
public record ProcessesRequest(String memberId) {}
