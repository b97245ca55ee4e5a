package org.wagtailcart.testing;

import java.io.IOException;
import java.nio.ByteBuffer;

/** What a {@link FaultyDisk} refuses. */
public enum DiskFault {
    /** Nothing. */
    NONE,
    /** Every write, before its first byte. */
    WRITES {
        @Override
        int writableBytes(ByteBuffer bytes) {
            return 0;
        }
    },
    /** Every write, after half of its bytes. */
    PARTIAL_WRITES {
        @Override
        int writableBytes(ByteBuffer bytes) {
            return bytes.remaining() / 2;
        }
    },
    /** Every sync, after its writes have succeeded. */
    SYNCS {
        @Override
        void beforeSync() throws IOException {
            throw noSpaceLeft();
        }
    },
    /** Every write and every new file, renamed file included. */
    WRITES_AND_FILES {
        @Override
        int writableBytes(ByteBuffer bytes) {
            return 0;
        }

        @Override
        void beforeNewName() throws IOException {
            throw noSpaceLeft();
        }
    },
    /** Every new or renamed file. */
    FILES {
        @Override
        void beforeNewName() throws IOException {
            throw noSpaceLeft();
        }
    };

    static IOException noSpaceLeft() {
        return new IOException("No space left on device");
    }

    /** Returns how many bytes of a write are stored before it fails; all of them if it does not fail. */
    int writableBytes(ByteBuffer bytes) {
        return bytes.remaining();
    }

    /** Fails if syncs are refused. */
    void beforeSync() throws IOException {}

    /** Fails if new names in a folder are refused. */
    void beforeNewName() throws IOException {}
}
