package org.wagtailcart.upstream;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import javax.net.SocketFactory;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okhttp3.internal.connection.RealConnection;
import okio.Buffer;
import okio.ByteString;
import okio.ForwardingSource;
import okio.Okio;

/**
 * Parts of an HTTP client that bound the bytes of a response besides its body, see {@link BoundedSocket}, and that find
 * bytes behind its end.
 */
final class ResponseBounds {
    /** Body that does not fit into the buffers of a connection, so that a response may come before its end is sent. */
    private static final long LARGE_BODY_BYTES = 64 << 10;

    /** Time without progress after which an early response is read; short against the deadline of a plain call. */
    private static final long STALL_CHECK_MILLIS = 100;

    private static final ScheduledExecutorService STALL_CHECKS = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "upstream-stall-checks");
        thread.setDaemon(true);
        return thread;
    });

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
        Response response = proceed(chain, socket);
        if (connection instanceof RealConnection real && mayBeEarly(chain.request(), response, socket)) {
            real.noNewExchanges();
        }
        ResponseBody body = response.body();
        CheckedBody checked = new CheckedBody(response, socket, request);
        return response.newBuilder()
                .body(ResponseBody.create(Okio.buffer(checked), body.contentType(), body.contentLength()))
                .build();
    }

    /**
     * Returns the response of the remaining chain. Closes the connection if OkHttp fails on a head that it has accepted,
     * such as one with a negative status.
     */
    private static Response proceed(Interceptor.Chain chain, BoundedSocket socket) throws IOException {
        Optional<ScheduledFuture<?>> check = hasLargeBody(chain.request())
                ? Optional.of(STALL_CHECKS.scheduleWithFixedDelay(
                        socket::endStalledWrite, STALL_CHECK_MILLIS, STALL_CHECK_MILLIS, TimeUnit.MILLISECONDS))
                : Optional.empty();
        try {
            return chain.proceed(chain.request());
        } catch (IllegalArgumentException | IllegalStateException e) {
            socket.close();
            throw new ProtocolException("response has an invalid head: " + e);
        } finally {
            check.ifPresent(scheduled -> scheduled.cancel(false));
        }
    }

    /**
     * Returns whether the upstream may have responded before it received the whole request. What it does with the rest
     * is unknown.
     */
    private static boolean mayBeEarly(Request request, Response response, BoundedSocket socket) throws IOException {
        boolean error = response.code() >= HttpURLConnection.HTTP_BAD_REQUEST;
        return socket.respondedEarly() || (error && hasLargeBody(request));
    }

    private static boolean hasLargeBody(Request request) throws IOException {
        RequestBody body = request.body();
        return body != null && body.contentLength() > LARGE_BODY_BYTES;
    }

    /**
     * Body that tells the socket how much of it was read. At the end of a body with a length it closes a connection on
     * which more bytes have arrived, and fails if the last bytes of the body belong to another response. A body whose
     * end is the end of the connection is complete only if no write to the connection has failed.
     */
    private static final class CheckedBody extends ForwardingSource {
        private static final ByteString STATUS_LINE_START = ByteString.encodeUtf8("HTTP/1.");

        private final BoundedSocket socket;
        private final long request;
        private final long lengthBytes;
        private final boolean endsWithConnection;
        private long readBytes;

        CheckedBody(Response response, BoundedSocket socket, long request) {
            super(response.body().source());
            this.socket = socket;
            this.request = request;
            this.lengthBytes = response.body().contentLength();
            this.endsWithConnection = lengthBytes < 0 && response.header("Transfer-Encoding") == null;
        }

        @Override
        public long read(Buffer sink, long byteCount) throws IOException {
            long count = super.read(sink, byteCount);
            if (count < 0 && endsWithConnection && socket.writeFailed()) {
                throw new IncompleteBodyException();
            }
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
