package org.wagtailcart.control.client;

/**
 * Result of a command sent to a member that is not the leader. The command did not run there.
 *
 * @param leaderAddress peer address of the leader, empty when unknown
 */
public record LeaderHint(String leaderAddress) {}
