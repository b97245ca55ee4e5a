package org.wagtailcart.control.client;

/**
 * Reply to {@link RecordOrigins}.
 *
 * @param count number of origins that were recorded
 */
public record OriginsRecorded(int count) {}
