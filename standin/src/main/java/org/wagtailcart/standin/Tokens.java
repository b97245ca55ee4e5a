package org.wagtailcart.standin;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Text model of the stand-in engine: every output token is a function of the prompt and its index. */
public final class Tokens {
    /** Characters that count as one prompt token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Tokens() {}

    /** Returns the number of tokens of a prompt. */
    public static int count(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /** Returns one output token. */
    public static String token(String prompt, int index) {
        return token(hash(FNV_OFFSET, prompt), index);
    }

    /** Returns output tokens from one index to another, the latter exclusive. */
    public static String text(String prompt, int from, int to) {
        long promptHash = hash(FNV_OFFSET, prompt);
        return IntStream.range(from, to).mapToObj(i -> token(promptHash, i)).collect(Collectors.joining());
    }

    /** Continues a 64-bit FNV-1a hash over the UTF-8 bytes of a text; start with {@link #hashStart}. */
    public static long hash(long start, String text) {
        long hash = start;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Returns the hash of the empty text. */
    public static long hashStart() {
        return FNV_OFFSET;
    }

    private static String token(long promptHash, int index) {
        long mixed = (promptHash ^ index) * 0x9e3779b97f4a7c15L;
        return "t" + index + "-" + Long.toHexString(mixed >>> 44) + " ";
    }
}
