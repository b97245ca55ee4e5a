package org.wagtailcart.control.client;

/**
 * Answer to {@link SyncRequest} whose large parts are compressed. A whole tree of 30,000 workspaces does not fit into one
 * frame otherwise.
 *
 * @param header the reply without edits and upstreams
 * @param inflatedBodyBytes size of the encoded {@link SyncBody}
 * @param deflatedBody the encoded body, deflated
 */
public record DeflatedSyncReply(SyncReply header, int inflatedBodyBytes, byte[] deflatedBody) {}
