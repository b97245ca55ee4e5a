package org.wagtailcart.upstream;

import java.util.regex.Pattern;

/**
 * Counts the bytes of a response as they arrive, to find those behind its end. The HTTP client reads ahead, and bytes in
 * its buffer are not seen by looking at the socket.
 */
final class ResponseByteCounter {
    /** Position of the first digit of the status in "HTTP/1.1 200 OK". */
    private static final int STATUS_POSITION = 9;
    /** Length of "HTTP/1.1 200" with the character that ends the status. */
    private static final int STATUS_END = 13;
    /** RFC 9110 has no other statuses; those below 200 precede the response. */
    private static final Pattern FINAL_STATUS = Pattern.compile("HTTP/1\\.[01] [2-5][0-9]{2}[ \r\n]");

    private static final int BYTE_MASK = 0xff;

    private long requestNumber;
    private long receivedBytes;
    private long headBytes;
    private boolean headComplete;
    /** Position within the head that is being read; a head that only precedes another one starts again. */
    private int headPosition;
    /** Bytes of the current line besides line ends. */
    private int lineBytes;

    private boolean interim;
    private final StringBuilder statusLine = new StringBuilder(STATUS_END);

    /** Forgets the response before, when a request is about to be written; returns the number of the request. */
    synchronized long start() {
        requestNumber++;
        receivedBytes = 0;
        headBytes = 0;
        headComplete = false;
        startHead();
        return requestNumber;
    }

    private void startHead() {
        headPosition = 0;
        lineBytes = 0;
        interim = false;
        statusLine.setLength(0);
    }

    synchronized void received(byte[] bytes, int offset, int length) {
        receivedBytes += length;
        for (int i = offset; i < offset + length && !headComplete; i++) {
            headBytes++;
            readHead(bytes[i]);
        }
    }

    private void readHead(byte next) {
        if (headPosition == STATUS_POSITION) {
            interim = next == '1';
        }
        headPosition++;
        if (statusLine.length() < STATUS_END) {
            statusLine.append((char) (next & BYTE_MASK));
        }
        if (next != '\n') {
            lineBytes += next == '\r' ? 0 : 1;
            return;
        }
        boolean blankLine = lineBytes == 0;
        lineBytes = 0;
        if (blankLine && interim) {
            startHead();
        } else {
            headComplete = blankLine;
        }
    }

    /** Returns whether the last head begins with a status line that may begin a final response. */
    synchronized boolean hasFinalStatus() {
        return FINAL_STATUS.matcher(statusLine).matches();
    }

    /**
     * Returns how many bytes behind the end of a response with a body of the given length have arrived; 0 if another
     * request uses the connection already, which may be as soon as the body has been read.
     */
    synchronized long surplusBytes(long request, long bodyBytes) {
        return headComplete && request == requestNumber ? Math.max(0, receivedBytes - headBytes - bodyBytes) : 0;
    }
}
