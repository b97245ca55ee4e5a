package org.wagtailcart.testing;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.Address;

/** Caller that sends several requests on one connection before it reads the first response. */
public final class PipelinedCaller implements AutoCloseable {
    /** Time between two pieces, in which the server reads the first as a rule. */
    private static final long PIECE_GAP_MILLIS = 3;

    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String CONTENT_LENGTH = "content-length:";

    private final Socket socket;
    private final BufferedReader in;

    /** Connects to a server. */
    public PipelinedCaller(Address server) throws IOException {
        socket = new Socket(server.ip(), server.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Sends bytes in pieces that end before the given positions, and the rest in a last piece. */
    public void send(String text, List<Integer> cuts) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        List<Integer> ends = new ArrayList<>(cuts.stream().sorted().distinct().toList());
        ends.add(text.length());
        int from = 0;
        for (int end : ends) {
            out.write(text.substring(from, end).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            from = end;
            TimeUnit.MILLISECONDS.sleep(end < text.length() ? PIECE_GAP_MILLIS : 0);
        }
    }

    /** Reads one response with a length and returns its status line. */
    public String readResponse() throws IOException {
        String status = String.valueOf(in.readLine());
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith(CONTENT_LENGTH)) {
                length =
                        Integer.parseInt(line.substring(CONTENT_LENGTH.length()).strip());
            }
        }
        for (int i = 0; i < length; i++) {
            int unused = in.read();
        }
        return status;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
