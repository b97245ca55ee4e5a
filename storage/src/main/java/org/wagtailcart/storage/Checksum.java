package org.wagtailcart.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** CRC32C checksums of file contents. */
final class Checksum {
    private Checksum() {}

    static int of(byte[] bytes) {
        return of(ByteBuffer.wrap(bytes));
    }

    static int of(ByteBuffer bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.duplicate());
        return (int) crc.getValue();
    }
}
