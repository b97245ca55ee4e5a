package org.wagtailcart.coordination;

/**
 * Command that a caller proposes to the log.
 *
 * @param id id that the {@link NodeEvent.Appended} event of the proposal carries
 * @param command encoded command
 */
record Proposal(long id, byte[] command) {}
