package org.wagtailcart.upstream;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.stream.IntStream;
import javax.net.SocketFactory;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.ByteString;
import okio.ForwardingSource;
import okio.Okio;

/**
 * Parts of an HTTP client that bound the bytes of a response besides its body, see {@link BoundedSocket}, and that find
 * bytes behind its end.
 */
final class ResponseBounds {
    private ResponseBounds() {}

    /** Returns a factory of sockets for which {@link #intercept} counts the bytes of response bodies. */
    static SocketFactory socketFactory() {
        return new BoundedSocketFactory();
    }

    /** Network interceptor that tells the socket of a request how much of the response body was read. */
    static Response intercept(Interceptor.Chain chain) throws IOException {
        Connection connection = chain.connection();
        if (connection == null || !(connection.socket() instanceof BoundedSocket socket)) {
            return chain.proceed(chain.request());
        }
        long request = socket.startRequest();
        Response response = chain.proceed(chain.request());
        ResponseBody body = response.body();
        CheckedBody checked = new CheckedBody(body, socket, request);
        return response.newBuilder()
                .body(ResponseBody.create(Okio.buffer(checked), body.contentType(), body.contentLength()))
                .build();
    }

    /**
     * Body that tells the socket how much of it was read. At the end of a body with a length it closes a connection on
     * which more bytes have arrived, and fails if the last bytes of the body belong to another response.
     */
    private static final class CheckedBody extends ForwardingSource {
        private static final ByteString STATUS_LINE_START = ByteString.encodeUtf8("HTTP/1.");

        private final BoundedSocket socket;
        private final long request;
        private final long lengthBytes;
        private long readBytes;

        CheckedBody(ResponseBody body, BoundedSocket socket, long request) {
            super(body.source());
            this.socket = socket;
            this.request = request;
            this.lengthBytes = body.contentLength();
        }

        @Override
        public long read(Buffer sink, long byteCount) throws IOException {
            long count = super.read(sink, byteCount);
            if (count > 0) {
                socket.bodyRead(count);
                readBytes += count;
            }
            if (readBytes == lengthBytes && socket.surplusBytes(request, lengthBytes) > 0) {
                socket.close();
                if (count > 0 && containsStatusLineStart(sink, count)) {
                    throw new ForeignBodyException();
                }
            }
            return count;
        }

        /** Returns whether the last bytes contain the start of a status line, or end with a part of it. */
        private static boolean containsStatusLineStart(Buffer sink, long count) {
            ByteString last = sink.snapshot().substring((int) (sink.size() - count));
            return last.indexOf(STATUS_LINE_START) >= 0
                    || IntStream.range(1, STATUS_LINE_START.size())
                            .anyMatch(length -> last.endsWith(STATUS_LINE_START.substring(0, length)));
        }
    }

    private static final class BoundedSocketFactory extends SocketFactory {
        @Override
        public Socket createSocket() {
            return new BoundedSocket();
        }

        @Override
        public Socket createSocket(String host, int port) {
            throw new UnsupportedOperationException("the HTTP client connects its sockets itself");
        }

        @Override
        public Socket createSocket(String host, int port, InetAddress localHost, int localPort) {
            return createSocket(host, port);
        }

        @Override
        public Socket createSocket(InetAddress host, int port) {
            return createSocket(host.getHostAddress(), port);
        }

        @Override
        public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort) {
            return createSocket(address, port);
        }
    }
}
