package org.wagtailcart.upstream;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.regex.Pattern;
import java.util.stream.StreamSupport;
import kotlin.Pair;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Network interceptor that rejects responses with header fields that RFC 9110 doesn't allow. OkHttp accepts them, but
 * they cannot be forwarded, and they show that bytes of the response were damaged.
 */
public final class ResponseHeadValidator {
    private static final char DELETE = 0x7f;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    private ResponseHeadValidator() {}

    /**
     * Returns whether the reason phrase or a header field contains a status line. Then the head was read from parts of
     * two responses, and its status and fields do not belong together.
     */
    public static boolean hasSecondStatusLine(Response response) {
        return STATUS_LINE.matcher(response.message()).find()
                || StreamSupport.stream(response.headers().spliterator(), false)
                        .anyMatch(header ->
                                STATUS_LINE.matcher(header.getSecond()).find());
    }

    /** Returns the response of the remaining chain; closes the connection if its head is invalid. */
    static Response intercept(Interceptor.Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        for (Pair<? extends String, ? extends String> header : response.headers()) {
            if (!isToken(header.getFirst()) || !isFieldValue(header.getSecond())) {
                closeConnection(chain.connection());
                response.close();
                throw new ProtocolException("response has an invalid header field");
            }
        }
        return response;
    }

    private static boolean isToken(String name) {
        return !name.isEmpty() && name.chars().allMatch(ResponseHeadValidator::isTokenCharacter);
    }

    private static boolean isTokenCharacter(int character) {
        return (character >= '0' && character <= '9')
                || (character >= 'A' && character <= 'Z')
                || (character >= 'a' && character <= 'z')
                || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }

    private static boolean isFieldValue(String value) {
        return value.chars().allMatch(character -> character == '\t' || (character >= ' ' && character != DELETE));
    }

    private static void closeConnection(Connection connection) throws IOException {
        connection.socket().close();
    }
}
