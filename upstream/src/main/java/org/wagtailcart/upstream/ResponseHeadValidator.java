package org.wagtailcart.upstream;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import kotlin.Pair;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Network interceptor that rejects a response head that cannot be trusted: one with header fields that RFC 9110 doesn't
 * allow, which show that its bytes were damaged, or one that was read from parts of two responses. OkHttp accepts both.
 */
final class ResponseHeadValidator {
    private static final char DELETE = 0x7f;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( |$)");

    private ResponseHeadValidator() {}

    /** Returns the response of the remaining chain; closes the connection if its head is invalid. */
    static Response intercept(Interceptor.Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        if (hasSecondStatusLine(response)) {
            close(response, chain.connection());
            throw new MergedResponseException(response.code(), response.message());
        }
        if (!hasValidFields(response)) {
            close(response, chain.connection());
            throw new ProtocolException("response has an invalid header field");
        }
        return response;
    }

    /**
     * Returns whether the reason phrase or a header field contains a status line. An upstream may send a part of an
     * earlier response in front of the next one; if that part ends within its head, the parser takes its status for
     * that of the next response.
     */
    private static boolean hasSecondStatusLine(Response response) {
        return containsStatusLine(response.message())
                || fields(response).anyMatch(field -> containsStatusLine(field.getSecond()));
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }

    private static boolean hasValidFields(Response response) {
        return fields(response).allMatch(field -> isToken(field.getFirst()) && isFieldValue(field.getSecond()));
    }

    private static Stream<? extends Pair<? extends String, ? extends String>> fields(Response response) {
        return StreamSupport.stream(response.headers().spliterator(), false);
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

    private static void close(Response response, Connection connection) throws IOException {
        connection.socket().close();
        response.close();
    }
}
