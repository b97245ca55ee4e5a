package org.wagtailcart.workspace;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** API key as sent by a caller, or the fault that makes it unusable. Its text form does not contain the key. */
public final class PresentedKey {
    /** Bounds the work for a key that is hashed before it is known; issued keys are far shorter. */
    public static final int MAX_LENGTH = 512;

    /** Visible ASCII characters, as a key in a header field has no others. */
    private static final Pattern VISIBLE_ASCII = Pattern.compile("[!-~]+");

    private static final String BEARER = "Bearer";

    private final @Nullable String value;
    private final KeyVerdict fault;

    private PresentedKey(@Nullable String value, KeyVerdict fault) {
        this.value = value;
        this.fault = fault;
    }

    /** Returns the key with the given text, or its fault. */
    public static PresentedKey of(String text) {
        if (text.length() > MAX_LENGTH) {
            return faulty(KeyVerdict.TOO_LONG);
        }
        return VISIBLE_ASCII.matcher(text).matches()
                ? new PresentedKey(text, KeyVerdict.ACCEPTED)
                : faulty(KeyVerdict.MALFORMED);
    }

    /**
     * Returns the key of an HTTP request with bearer authentication.
     *
     * @param authorization values of all its Authorization headers
     */
    public static PresentedKey ofBearer(List<String> authorization) {
        if (authorization.size() != 1) {
            return faulty(authorization.isEmpty() ? KeyVerdict.MISSING : KeyVerdict.REPEATED);
        }
        String credentials = trimmed(authorization.get(0));
        int space = credentials.indexOf(' ');
        String scheme = space < 0 ? credentials : credentials.substring(0, space);
        return scheme.equalsIgnoreCase(BEARER)
                ? of(trimmed(credentials.substring(scheme.length())))
                : faulty(KeyVerdict.OTHER_SCHEME);
    }

    /**
     * Removes the spaces and tabs around a header value. Other white space is part of it, and no key has any. A pattern
     * for trailing space takes quadratic time on a long run of spaces within the value.
     */
    private static String trimmed(String value) {
        int begin = 0;
        int end = value.length();
        while (begin < end && isSpaceOrTab(value.charAt(begin))) {
            begin++;
        }
        while (end > begin && isSpaceOrTab(value.charAt(end - 1))) {
            end--;
        }
        return value.substring(begin, end);
    }

    private static boolean isSpaceOrTab(char c) {
        return c == ' ' || c == '\t';
    }

    /** Returns a key that is unusable for the given reason. */
    public static PresentedKey faulty(KeyVerdict fault) {
        return new PresentedKey(null, fault);
    }

    Optional<String> value() {
        return Optional.ofNullable(value);
    }

    /** Returns the reason for which the key is unusable, {@link KeyVerdict#ACCEPTED} for none. */
    public KeyVerdict fault() {
        return fault;
    }

    @Override
    public String toString() {
        return "PresentedKey[" + fault + "]";
    }
}
