package org.wagtailcart.coordination;

/**
 * Command to append.
 *
 * @param id number by which the proposer finds it again
 * @param command encoded command
 */
record Proposal(long id, byte[] command) {}
