package org.wagtailcart.upstream;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ProtocolException;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import kotlin.Pair;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Protocol;
import okhttp3.Response;
import okhttp3.ResponseBody;

/**
 * Network interceptor that rejects a response head that cannot be trusted: one with a status or header fields that RFC
 * 9110 doesn't allow, which show that its bytes were damaged, one whose body has no certain end, or one that was read
 * from parts of two responses. OkHttp accepts all of them.
 */
final class ResponseHeadValidator {
    private static final char DELETE = 0x7f;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( |$)");

    /** Number that fits into a long. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private ResponseHeadValidator() {}

    /**
     * Returns the response of the remaining chain; closes the connection if its head is invalid. OkHttp then releases the
     * response; closing that itself fails if its length is negative.
     */
    static Response intercept(Interceptor.Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        if (hasSecondStatusLine(response)) {
            chain.connection().socket().close();
            throw new MergedResponseException(response.code(), response.message());
        }
        String fault = fault(response, chain.connection());
        if (!fault.isEmpty()) {
            chain.connection().socket().close();
            throw new ProtocolException(fault);
        }
        return response.code() == HttpURLConnection.HTTP_NOT_MODIFIED
                ? withoutBody(response, chain.connection())
                : response;
    }

    /** Returns what is wrong with a response head, empty if nothing is. */
    private static String fault(Response response, Connection connection) {
        if (connection.socket() instanceof BoundedSocket socket && !socket.hasFinalStatus()) {
            return "response has an invalid status line, read as status " + response.code();
        }
        if (!hasValidFields(response)) {
            return "response has an invalid header field";
        }
        List<String> lengths = response.headers("Content-Length");
        List<String> codings = response.headers("Transfer-Encoding");
        if (!hasValidLength(lengths) || !hasValidCoding(response, codings) || hasUnexpectedBody(response, codings)) {
            return "response has an ambiguous length: status " + response.code() + ", Content-Length " + lengths
                    + ", Transfer-Encoding " + codings;
        }
        return "";
    }

    /** OkHttp uses the last of several lengths, and reads to the end of the connection if that is not a number. */
    private static boolean hasValidLength(List<String> lengths) {
        return lengths.stream().distinct().count() <= 1
                && lengths.stream().allMatch(value -> LENGTH.matcher(value).matches());
    }

    /** OkHttp takes a coding that it does not know for none. */
    private static boolean hasValidCoding(Response response, List<String> codings) {
        return codings.isEmpty()
                || (codings.size() == 1
                        && codings.get(0).equalsIgnoreCase("chunked")
                        && response.header("Content-Length") == null
                        && response.protocol() == Protocol.HTTP_1_1);
    }

    private static boolean hasUnexpectedBody(Response response, List<String> codings) {
        boolean bodyAllowed =
                response.code() != HttpURLConnection.HTTP_NO_CONTENT && response.code() != HttpURLConnection.HTTP_RESET;
        return !bodyAllowed && (!codings.isEmpty() || response.body().contentLength() > 0);
    }

    /**
     * Returns a response with status 304, whose length is that of a body which does not follow. OkHttp would wait for
     * that body, and closing the response would wait, too, unless its connection is closed.
     */
    private static Response withoutBody(Response response, Connection connection) throws IOException {
        if (response.body().contentLength() == 0) {
            return response;
        }
        connection.socket().close();
        response.close();
        return response.newBuilder()
                .body(ResponseBody.create(new byte[0], response.body().contentType()))
                .build();
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
}
