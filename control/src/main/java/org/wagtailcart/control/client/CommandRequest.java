package org.wagtailcart.control.client;

/**
 * Request that carries a command or query for the leader.
 *
 * @param typeNumber message type of the command
 * @param command encoded command
 */
public record CommandRequest(int typeNumber, byte[] command) {}
