package org.wagtailcart.upstream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wagtailcart.testing.InvalidResponse;
import org.wagtailcart.testing.RawServer;

/** Guards against a part of a response, or a response that is none, which is taken for a complete one. */
class IncompleteResponseTest {
    private static final int UPLOAD_BYTES = 1_500_000;
    private static final int ROUNDS = 20;

    private final OkHttpClient client = InternalHttpClients.builder()
            .callTimeout(5, TimeUnit.SECONDS)
            .readTimeout(2, TimeUnit.SECONDS)
            .build();

    static Stream<Arguments> invalidResponses() {
        return Stream.of(InvalidResponse.values())
                .flatMap(response -> IntStream.rangeClosed(1, 3).mapToObj(seed -> Arguments.of(response, seed)));
    }

    private String send(RawServer server, int bodyBytes) throws IOException {
        Request request = new Request.Builder()
                .url("http://" + server.address() + "/")
                .post(new OneShotBody(new byte[bodyBytes]))
                .build();
        try (Response response = client.newCall(request).execute()) {
            return response.code() + " " + response.body().string();
        }
    }

    @ParameterizedTest
    @MethodSource("invalidResponses")
    void anInvalidResponseFails(InvalidResponse response, long seed) throws Exception {
        try (RawServer server = new RawServer(socket -> {
            RawServer.readRequest(socket.getInputStream());
            RawServer.write(socket, response.text(""), new Random(seed));
        })) {
            assertThrows(IOException.class, () -> send(server, 10));
        }
    }

    /** The rest of such a request is still in the buffers of the connection when its end has been written. */
    @ParameterizedTest
    @CsvSource({"1", "2"})
    void aBodyThatEndsWithACloseDuringTheUploadIsIncomplete(long seed) throws Exception {
        Random random = new Random(seed);
        try (RawServer server = new RawServer(socket -> {
            RawServer.readHead(socket.getInputStream());
            RawServer.write(socket, "HTTP/1.1 200 X\r\nA: b\r\n\r\na part of the body", random);
            socket.shutdownOutput();
            socket.getInputStream().readNBytes(random.nextInt(200_000));
        })) {
            for (int i = 0; i < ROUNDS; i++) {
                assertThrows(IOException.class, () -> send(server, UPLOAD_BYTES));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"200, 1", "200, 2", "500, 3"})
    void aBodyThatEndsWithAResetDuringTheUploadIsIncomplete(int status, long seed) throws Exception {
        Random random = new Random(seed);
        try (RawServer server = new RawServer(socket -> {
            RawServer.readHead(socket.getInputStream());
            RawServer.write(socket, "HTTP/1.1 " + status + " X\r\nA: b\r\n\r\na part of the body", random);
            socket.getInputStream().readNBytes(random.nextInt(400_000));
            RawServer.resetOnClose(socket);
        })) {
            for (int i = 0; i < ROUNDS; i++) {
                assertThrows(IOException.class, () -> send(server, UPLOAD_BYTES));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"10, false", "10, true", "1500000, true"})
    void aBodyThatEndsWithAResetAfterTheUploadIsIncomplete(int bodyBytes, boolean pause) throws Exception {
        try (RawServer server = new RawServer(socket -> {
            RawServer.readRequest(socket.getInputStream());
            RawServer.write(socket, "HTTP/1.1 200 X\r\nA: b\r\n\r\na part of the body", new Random(1));
            if (pause) {
                pause();
            }
            RawServer.resetOnClose(socket);
        })) {
            for (int i = 0; i < ROUNDS; i++) {
                assertThrows(IOException.class, () -> send(server, bodyBytes));
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK~Content-Length: 4~~body | 200 body",
                "HTTP/1.1 200 OK~Content-Length: 4~Content-Length: 4~~body | 200 body",
                "HTTP/1.1 200~Content-Length: 4~~body | 200 body",
                "HTTP/1.1 299 X~Content-Length: 4~~body | 299 body",
                "HTTP/1.1 599 X~Content-Length: 4~~body | 599 body",
                "HTTP/1.1 200 OK~A: b~~body | 200 body",
                "HTTP/1.0 200 OK~A: b~~body | 200 body",
                "HTTP/1.1 200 OK~Transfer-Encoding: Chunked~~4;x=y~body~0~X: y~~ | 200 body",
                "HTTP/1.1 100 Continue~~HTTP/1.1 103 X~A: b~~HTTP/1.1 200 OK~Content-Length: 4~~body | 200 body",
                "HTTP/1.1 304 Not Modified~Content-Length: 4~~ | 304",
                "HTTP/1.1 304 Not Modified~A: b~~ | 304",
                "HTTP/1.1 304 Not Modified~Transfer-Encoding: chunked~~4~body~0~~ | 304",
                "HTTP/1.1 204 No Content~Content-Length: 0~~ | 204",
                "HTTP/1.1 204 No Content~A: b~~ | 204"
            })
    void aValidResponseIsReadAtOnce(String response, String expected) throws Exception {
        try (RawServer server = new RawServer(socket -> {
            while (!RawServer.readRequest(socket.getInputStream()).isEmpty()) {
                RawServer.write(socket, response.replace("~", "\r\n"), new Random(1));
                if (response.contains("A: b~~body")) {
                    return;
                }
            }
        })) {
            for (int i = 0; i < ROUNDS; i++) {
                assertThat(send(server, 10).strip()).isEqualTo(expected);
            }
        }
    }

    /** What an upstream does after a complete early response. */
    private enum AfterEarlyResponse {
        RESET {
            @Override
            void run(Socket socket) throws IOException {
                RawServer.resetOnClose(socket);
            }
        },
        CLOSE {
            @Override
            void run(Socket socket) throws IOException {
                socket.close();
            }
        },
        STOP_READING {
            @Override
            void run(Socket socket) {
                try {
                    TimeUnit.SECONDS.sleep(3);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        },
        READ_AND_KEEP {
            @Override
            void run(Socket socket) throws IOException {
                socket.getInputStream().skipNBytes(UPLOAD_BYTES);
                String next = RawServer.readRequest(socket.getInputStream());
                if (!next.isEmpty()) {
                    RawServer.write(socket, "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nreused", new Random(1));
                }
            }
        };

        abstract void run(Socket socket) throws IOException;
    }

    static Stream<Arguments> earlyResponses() {
        return Stream.of(AfterEarlyResponse.values())
                .flatMap(after -> Stream.of(
                        Arguments.of(after, "413 X", "Content-Length: 9", "too large", "413 too large"),
                        Arguments.of(after, "401 X", "Content-Length: 0", "", "401 "),
                        Arguments.of(
                                after, "503 X", "Transfer-Encoding: chunked", "4\r\nbusy\r\n0\r\n\r\n", "503 busy")));
    }

    @ParameterizedTest
    @MethodSource("earlyResponses")
    void aCompleteEarlyResponseIsReadAndItsConnectionNotUsedAgain(
            AfterEarlyResponse after, String status, String field, String body, String expected) throws Exception {
        try (RawServer server = new RawServer(socket -> {
            RawServer.readHead(socket.getInputStream());
            RawServer.write(socket, "HTTP/1.1 " + status + "\r\n" + field + "\r\n\r\n" + body, new Random(1));
            pause();
            after.run(socket);
        })) {
            for (int i = 0; i < ROUNDS; i++) {
                assertThat(send(server, UPLOAD_BYTES)).isEqualTo(expected);
            }
            assertWithMessage("connections").that(server.connections()).isEqualTo(ROUNDS);
        }
    }

    @ParameterizedTest
    @CsvSource({"10", "100000", "1500000"})
    void aConnectionIsUsedAgainAfterAResponseToAWholeRequest(int bodyBytes) throws Exception {
        try (RawServer server = new RawServer(socket -> {
            while (!RawServer.readRequest(socket.getInputStream()).isEmpty()) {
                RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", new Random(1));
            }
        })) {
            for (int i = 0; i < ROUNDS; i++) {
                assertThat(send(server, bodyBytes)).isEqualTo("200 body");
            }
            assertWithMessage("connections").that(server.connections()).isEqualTo(1);
        }
    }
}
