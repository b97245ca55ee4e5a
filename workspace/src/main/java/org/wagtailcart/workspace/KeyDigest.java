package org.wagtailcart.workspace;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;

/**
 * Digest of an API key: the first bytes of the SHA-256 of salt and key. Keys are random and long, so that a fast hash
 * suffices. The salt keeps digests of two tables from being compared, and equal keys of two systems apart.
 */
public final class KeyDigest {
    /**
     * Bytes that are kept of the hash. Among a million keys, a guess matches one by chance with a probability of
     * 2^-76, and a digest takes 16 characters in a table that is sent to each gateway.
     */
    private static final int DIGEST_BYTES = 12;

    private static final int SALT_BYTES = 16;

    private KeyDigest() {}

    /** Returns a new random salt. */
    public static byte[] newSalt() {
        byte[] salt = new byte[SALT_BYTES];
        new SecureRandom().nextBytes(salt);
        return salt;
    }

    /** Returns a salt as text, in the form that {@link #parseSalt} accepts. */
    public static String formatSalt(byte[] salt) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(salt);
    }

    /**
     * Returns the salt of a text.
     *
     * @throws IllegalArgumentException when the text is not base64url
     */
    public static byte[] parseSalt(String text) {
        return Base64.getUrlDecoder().decode(text);
    }

    /** Returns the digest of a key as text. */
    public static String of(byte[] salt, String key) {
        MessageDigest sha = sha256();
        sha.update(salt);
        byte[] hash = sha.digest(key.getBytes(StandardCharsets.UTF_8));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(hash, DIGEST_BYTES));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
