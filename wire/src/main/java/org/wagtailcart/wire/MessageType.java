package org.wagtailcart.wire;

/**
 * Record class that is sent between processes or stored in the replicated log, with its type number.
 *
 * @param number type number in encoded messages; never reused
 * @param recordClass the record class
 */
public record MessageType(int number, Class<? extends Record> recordClass) {}
