package org.wagtailcart.common;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Hash of a text to 64 bits that is the same in all processes. Not for texts that an attacker selects. */
public final class StableHash {
    private StableHash() {}

    /** Returns the hash of a text; its upper bits vary most. */
    public static long of(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        // A CRC is linear; mixing makes the order of two hashes independent of a common part of their texts.
        long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
        return (mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L;
    }
}
