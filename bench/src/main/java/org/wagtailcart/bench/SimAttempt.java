package org.wagtailcart.bench;

import java.util.Optional;

/** One attempt of a request at one or two engines. */
final class SimAttempt {
    final String id;
    final SimRequest request;
    final SimEntry entry;
    final FakeEngine output;
    final double sentMillis;
    /** Tokens delivered by earlier attempts; they are part of the prompt. */
    final int resumedTokens;
    /** Prompt tokens still to process; -1 before the start. */
    int promptLeft = -1;

    boolean ended;

    SimAttempt(String id, SimRequest request, SimEntry entry, FakeEngine output, double sentMillis) {
        this.id = id;
        this.request = request;
        this.entry = entry;
        this.output = output;
        this.sentMillis = sentMillis;
        this.resumedTokens = request.generated;
    }

    Optional<FakeEngine> handoff(FakeEngine from) {
        return from == output ? Optional.empty() : Optional.of(output);
    }

    int promptTokens() {
        return request.promptTokens + resumedTokens;
    }

    int kvTokens() {
        return promptTokens() + request.kind.outputTokens;
    }
}
