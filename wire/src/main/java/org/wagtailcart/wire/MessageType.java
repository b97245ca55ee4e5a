package org.wagtailcart.wire;

/**
 * A record that may travel between processes or be stored in the replicated log.
 *
 * @param number type number on the wire; never reused
 * @param recordClass the record class
 */
public record MessageType(int number, Class<? extends Record> recordClass) {}
