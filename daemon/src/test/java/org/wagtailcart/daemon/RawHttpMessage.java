package org.wagtailcart.daemon;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Request or response as it was read from a socket, without any correction.
 *
 * @param startLine request line or status line
 * @param headers values by name in lower case; several values are separated by commas
 */
record RawHttpMessage(String startLine, Map<String, String> headers, String body) {
    /**
     * Reads a message whose body has a length.
     *
     * @throws EOFException if the connection ends before the message does
     * @throws ProtocolException if a header field has no name, or the length is not a single number
     */
    static RawHttpMessage read(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon <= 0) {
                throw new ProtocolException("header field without a name: " + line);
            }
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.merge(name, line.substring(colon + 1).strip(), (first, second) -> first + ", " + second);
        }
        String length = headers.getOrDefault("content-length", "0");
        if (!length.matches("[0-9]{1,6}") || headers.containsKey("transfer-encoding")) {
            throw new ProtocolException("body without a length: " + headers);
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new EOFException("body ended early");
        }
        return new RawHttpMessage(startLine, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the path of a request. */
    String path() {
        return startLine.split(" ", -1)[1];
    }

    /** Returns the status of a response. */
    int status() throws ProtocolException {
        if (!startLine.matches("HTTP/1\\.1 [1-5][0-9]{2}( .*)?")) {
            throw new ProtocolException("not a status line: " + startLine);
        }
        return Integer.parseInt(startLine.substring(9, 12));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection ended within a line");
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
