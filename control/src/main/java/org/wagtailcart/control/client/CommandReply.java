package org.wagtailcart.control.client;

/**
 * Result of a command.
 *
 * @param typeNumber message type of the result
 * @param result encoded result
 */
public record CommandReply(int typeNumber, byte[] result) {}
