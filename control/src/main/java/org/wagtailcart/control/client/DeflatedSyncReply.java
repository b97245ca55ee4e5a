package org.wagtailcart.control.client;

/**
 * Reply to {@link SyncRequest} with a compressed body. Without compression, the full tree of 30,000 workspaces does not
 * fit into one frame.
 *
 * @param header the reply without edits and upstreams
 * @param inflatedBodyBytes size of the encoded {@link SyncBody}
 * @param deflatedBody the encoded and deflated {@link SyncBody}
 */
public record DeflatedSyncReply(SyncReply header, int inflatedBodyBytes, byte[] deflatedBody) {}
