package org.wagtailcart.bench;

import java.util.Optional;

/** One attempt of a request: at one engine, or at a prefill engine and then a decode engine. */
final class SimAttempt {
    final String id;
    final SimRequest request;
    final SimEntry entry;
    final SimEngine decodeEngine;
    final double sentMillis;
    /** Output tokens of earlier attempts, which this attempt prefills along with the prompt. */
    final int resumedTokens;
    /** Prompt tokens left to prefill; -1 before the attempt starts. */
    int remainingPromptTokens = -1;

    boolean ended;

    SimAttempt(String id, SimRequest request, SimEntry entry, SimEngine output, double sentMillis) {
        this.id = id;
        this.request = request;
        this.entry = entry;
        this.decodeEngine = output;
        this.sentMillis = sentMillis;
        this.resumedTokens = request.generatedTokens;
    }

    /** Returns the engine to decode on, unless it is the given one. */
    Optional<SimEngine> kvTransferTarget(SimEngine from) {
        return from == decodeEngine ? Optional.empty() : Optional.of(decodeEngine);
    }

    int promptTokens() {
        return request.promptTokens + resumedTokens;
    }

    int kvTokens() {
        return promptTokens() + request.kind.outputTokens;
    }
}
