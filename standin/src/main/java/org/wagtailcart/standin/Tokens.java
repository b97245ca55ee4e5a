package org.wagtailcart.standin;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Deterministic output of the stand-in engine: every token is a function of the prompt and the token's index. */
public final class Tokens {
    /** Characters per prompt token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Tokens() {}

    /** Returns the number of tokens of a prompt, at least 1. */
    public static int count(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /** Returns the output token at the given index. */
    public static String token(String prompt, int index) {
        return token(hash(FNV_OFFSET, prompt), index);
    }

    /** Returns the text of the output tokens from an index, inclusive, to another, exclusive. */
    public static String text(String prompt, int from, int to) {
        long promptHash = hash(FNV_OFFSET, prompt);
        return IntStream.range(from, to).mapToObj(i -> token(promptHash, i)).collect(Collectors.joining());
    }

    /** Returns the 64-bit FNV-1a hash of the given hash extended by a text in UTF-8; start with {@link #emptyHash}. */
    public static long hash(long start, String text) {
        long hash = start;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Returns the hash of the empty text. */
    public static long emptyHash() {
        return FNV_OFFSET;
    }

    private static String token(long promptHash, int index) {
        long mixed = (promptHash ^ index) * 0x9e3779b97f4a7c15L;
        return "t" + index + "-" + Long.toHexString(mixed >>> 44) + " ";
    }
}
