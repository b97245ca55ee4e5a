package org.wagtailcart.upstream;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import okio.Buffer;
import okio.BufferedSource;

/**
 * Buffer for response bodies that are read as a whole, with a limit on each body and on all bodies that are being read
 * at the same time. An upstream in trouble may send a body without end. Thread safe.
 */
public final class ResponseBuffer {
    private static final int READ_BYTES = 16 << 10;

    private final AtomicLong totalBytes = new AtomicLong();
    private final long maxBodyBytes;
    private final long maxTotalBytes;

    /** Thrown when a body, or all bodies together, exceed their limit. */
    public static final class FullException extends IOException {
        private static final long serialVersionUID = 1L;

        FullException(long bodyBytes) {
            super("response body is larger than the buffer for it, after " + bodyBytes + " bytes");
        }
    }

    /** Creates an empty buffer with limits on one body and on all of them. */
    public ResponseBuffer(long maxBodyBytes, long maxTotalBytes) {
        this.maxBodyBytes = maxBodyBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /**
     * Reads a body to its end.
     *
     * @throws FullException if the body does not fit
     */
    public byte[] readAll(BufferedSource source) throws IOException {
        Buffer body = new Buffer();
        long reservedBytes = 0;
        try {
            for (long read = source.read(body, READ_BYTES); read >= 0; read = source.read(body, READ_BYTES)) {
                reservedBytes += read;
                if (totalBytes.addAndGet(read) > maxTotalBytes || body.size() > maxBodyBytes) {
                    throw new FullException(body.size());
                }
            }
            return body.readByteArray();
        } finally {
            totalBytes.addAndGet(-reservedBytes);
        }
    }
}
