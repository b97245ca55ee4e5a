package org.wagtailcart.testing;

/** Responses of an upstream that are incomplete or invalid, after each of which the connection is closed. */
public enum InvalidResponse {
    STATUS_000("HTTP/1.1 000 X", "Content-Length: 4", "body"),
    STATUS_000_WITHOUT_LENGTH("HTTP/1.1 000 X", "X: y", "body"),
    STATUS_099("HTTP/1.1 099 X", "Content-Length: 4", "body"),
    STATUS_600("HTTP/1.1 600 X", "Content-Length: 4", "body"),
    STATUS_999("HTTP/1.1 999 X", "Content-Length: 4", "body"),
    STATUS_1000("HTTP/1.1 1000 X", "Content-Length: 4", "body"),
    STATUS_OF_TWO_DIGITS("HTTP/1.1 20 X", "Content-Length: 4", "body"),
    STATUS_OF_ONE_DIGIT("HTTP/1.1 2", "Content-Length: 4", "body"),
    STATUS_WITH_PLUS("HTTP/1.1 +20 X", "Content-Length: 4", "body"),
    STATUS_WITH_MINUS("HTTP/1.1 -20 X", "Content-Length: 4", "body"),
    NO_STATUS("HTTP/1.1 ", "Content-Length: 4", "body"),
    UNSOLICITED_101("HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x", "body"),
    INTERIM_ONLY("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X", "X: y", ""),
    INTERIM_THEN_INVALID("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X", "Content-Length: 4", "body"),
    VERSION_2_0("HTTP/2.0 200 OK", "Content-Length: 4", "body"),
    VERSION_1_2("HTTP/1.2 200 OK", "Content-Length: 4", "body"),
    VERSION_ICY("ICY 200 OK", "Content-Length: 4", "body"),
    VERSION_0_9("body", "", ""),
    LENGTHS_DIFFER("HTTP/1.1 200 OK", "Content-Length: 9\r\nContent-Length: 4", "body"),
    LENGTHS_DIFFER_IN_A_LIST("HTTP/1.1 200 OK", "Content-Length: 4, 9", "body"),
    LENGTH_NEGATIVE("HTTP/1.1 200 OK", "Content-Length: -4", "body"),
    LENGTH_MINUS_ONE("HTTP/1.1 200 OK", "Content-Length: -1", "body"),
    LENGTH_WITH_PLUS("HTTP/1.1 200 OK", "Content-Length: +4", "body"),
    LENGTH_IS_NO_NUMBER("HTTP/1.1 200 OK", "Content-Length: four", "body"),
    LENGTH_EMPTY("HTTP/1.1 200 OK", "Content-Length:", "body"),
    LENGTH_HUGE("HTTP/1.1 200 OK", "Content-Length: 99999999999999999999", "body"),
    LENGTH_TOO_LONG("HTTP/1.1 200 OK", "Content-Length: 999999999", "body"),
    LENGTH_WITH_CHUNKS("HTTP/1.1 200 OK", "Content-Length: 4\r\nTransfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"),
    TWO_CODINGS("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked", "4\r\nbody\r\n0\r\n\r\n"),
    UNKNOWN_CODING("HTTP/1.1 200 OK", "Transfer-Encoding: chunkee", "4\r\nbody\r\n0\r\n\r\n"),
    CHUNKED_TWICE(
            "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"),
    CHUNKED_IN_VERSION_1_0("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_CUT("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n1"),
    CHUNK_SIZE_LINE_CUT("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n0;ext"),
    CHUNK_DATA_CUT("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n9\r\nmore"),
    CHUNK_DATA_END_CUT("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody"),
    LAST_CHUNK_MISSING("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n"),
    LAST_LINE_MISSING("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n"),
    TRAILER_CUT("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\nX: y"),
    TRAILERS_CUT("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\nX: y\r\n"),
    CHUNK_SIZE_NEGATIVE("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "-4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_HUGE("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "fffffffffffffffff\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_IS_NO_NUMBER("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "x\r\nbody\r\n0\r\n\r\n"),
    NO_CONTENT_WITH_LENGTH("HTTP/1.1 204 No Content", "Content-Length: 4", "body"),
    NO_CONTENT_WITH_CHUNKS("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n");

    private final String statusLine;
    private final String fields;
    private final String body;

    InvalidResponse(String statusLine, String fields, String body) {
        this.statusLine = statusLine;
        this.fields = fields;
        this.body = body;
    }

    /** Returns the response with further lines in its head, each of which ends with a line break. */
    public String text(String furtherFields) {
        return statusLine + "\r\n" + furtherFields + fields + "\r\n\r\n" + body;
    }
}
