package org.wagtailcart.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Socket that records whether a request was written in full, and bounds the bytes received beyond those of the response body that were read. An upstream in trouble may
 * repeat a header, a chunk extension or a trailer without end; the HTTP client would buffer all of it.
 *
 * <p>After a write error the HTTP client still reads the response, which may be a refusal of the request. The operating
 * system reports a reset only once: if a write has reported it, the next read reports a regular end.
 */
final class BoundedSocket extends Socket {
    /** Bytes of a response besides its body: head, framing, and what the HTTP client reads ahead. */
    static final long MAX_OVERHEAD_BYTES = 1L << 20;

    /** Bytes of framing that may come with each byte of the body; a chunk of one byte has five to six. */
    private static final long MAX_FRAMING_PER_BODY_BYTE = 8;

    /**
     * Size of the send buffer. Linux lets it grow to 4 MB, and a request that is in there counts as written although the
     * upstream has not received it. A gateway's link carries less than 64 KB in a round trip.
     */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private final ResponseByteCounter counter = new ResponseByteCounter();
    private final AtomicLong allowedBytes = new AtomicLong(MAX_OVERHEAD_BYTES);
    private volatile boolean writeFailed;
    /** Whether a part of the current request was written. Confined to the thread that writes it. */
    private boolean requestBegun;
    /** Whether bytes of the response had arrived before the last part of the request was written. */
    private volatile boolean respondedEarly;
    /** Number of writes that have begun. */
    private final AtomicLong writes = new AtomicLong();

    private volatile boolean writing;
    /** Value of {@link #writes} at the latest check for a stalled write. Confined to the thread of the checks. */
    private long checkedWrites;

    /** Creates a socket with a bounded send buffer. */
    BoundedSocket() {
        try {
            setSendBufferSize(SEND_BUFFER_BYTES);
        } catch (SocketException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Called before a request is written; its response may use the full allowance. Returns the number of the request. */
    long startRequest() {
        allowedBytes.set(MAX_OVERHEAD_BYTES);
        requestBegun = false;
        respondedEarly = false;
        return counter.start();
    }

    /** Returns whether a write has failed, so that the latest request was not written in full. */
    boolean writeFailed() {
        return writeFailed;
    }

    /** Returns whether the response to the latest request began before the last part of that request was written. */
    boolean respondedEarly() {
        return respondedEarly;
    }

    /**
     * Ends a write that has made no progress since the last call, if bytes of the response have arrived. An upstream may
     * refuse a request and then read no more of it without closing the connection; the refusal would not be read.
     */
    void endStalledWrite() {
        long current = writes.get();
        try {
            if (writing && current == checkedWrites && super.getInputStream().available() > 0) {
                shutdownOutput();
            }
        } catch (IOException e) {
            // The connection has been closed, which ends the write, too.
        }
        checkedWrites = current;
    }

    /** Returns whether the head of the response that was read last begins with the status line of a final response. */
    boolean hasFinalStatus() {
        return counter.hasFinalStatus();
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

    @Override
    public OutputStream getOutputStream() throws IOException {
        OutputStream out = super.getOutputStream();
        InputStream in = super.getInputStream();
        return new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                write(new byte[] {(byte) value}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                try {
                    respondedEarly |= requestBegun && in.available() > 0;
                    requestBegun = true;
                    writes.incrementAndGet();
                    writing = true;
                    out.write(bytes, offset, length);
                } catch (IOException e) {
                    writeFailed = true;
                    throw e;
                } finally {
                    writing = false;
                }
            }

            @Override
            public void close() throws IOException {
                out.close();
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
