package org.wagtailcart.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Socket that bounds the bytes received beyond those of the response body that were read. An upstream in trouble may
 * repeat a header, a chunk extension or a trailer without end; the HTTP client would buffer all of it.
 */
final class BoundedSocket extends Socket {
    /** Bytes of a response besides its body: head, framing, and what the HTTP client reads ahead. */
    static final long MAX_OVERHEAD_BYTES = 1L << 20;

    /** Bytes of framing that may come with each byte of the body; a chunk of one byte has five to six. */
    private static final long MAX_FRAMING_PER_BODY_BYTE = 8;

    private final ResponseByteCounter counter = new ResponseByteCounter();
    private final AtomicLong allowedBytes = new AtomicLong(MAX_OVERHEAD_BYTES);

    /** Called before a request is written; its response may use the full allowance. Returns the number of the request. */
    long startRequest() {
        allowedBytes.set(MAX_OVERHEAD_BYTES);
        return counter.start();
    }

    /** Returns how many bytes behind the end of the response to a request have arrived, 0 if it is not the latest. */
    long surplusBytes(long request, long bodyBytes) {
        return counter.surplusBytes(request, bodyBytes);
    }

    /** Called when bytes of the response body were read from the HTTP client. */
    void bodyRead(long bytes) {
        allowedBytes.addAndGet(bytes * (1 + MAX_FRAMING_PER_BODY_BYTE));
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new FilterInputStream(super.getInputStream()) {
            @Override
            public int read() throws IOException {
                int value = super.read();
                if (value < 0) {
                    return value;
                }
                counter.received(new byte[] {(byte) value}, 0, 1);
                return checked(value, 1);
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int count = super.read(bytes, offset, length);
                if (count < 0) {
                    return count;
                }
                counter.received(bytes, offset, count);
                return checked(count, count);
            }
        };
    }

    private int checked(int result, int received) throws IOException {
        if (allowedBytes.addAndGet(-received) < 0) {
            throw new IOException("upstream sent more than " + MAX_OVERHEAD_BYTES + " bytes besides the response body");
        }
        return result;
    }
}
