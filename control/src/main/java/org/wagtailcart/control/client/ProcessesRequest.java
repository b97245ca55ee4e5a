package org.wagtailcart.control.client;

/**
 * Request to the leader for the status of the processes that sync with any member.
 *
 * @param memberId the requesting member
 */
public record ProcessesRequest(String memberId) {}
