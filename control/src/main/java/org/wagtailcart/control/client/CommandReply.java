package org.wagtailcart.control.client;

/**
 * Reply to {@link CommandRequest}, with the result of the command.
 *
 * @param typeNumber message type of the result
 * @param result encoded result
 */
public record CommandReply(int typeNumber, byte[] result) {}
