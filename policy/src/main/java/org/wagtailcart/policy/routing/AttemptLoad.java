package org.wagtailcart.policy.routing;

import org.jspecify.annotations.Nullable;

/** Work that one attempt adds to the tracked load of its upstreams. */
final class AttemptLoad {
    final UpstreamLoad promptUpstream;
    final UpstreamLoad outputUpstream;
    double promptWork;
    double outputWork;

    AttemptLoad(@Nullable UpstreamLoad prefill, UpstreamLoad output, double promptWork, double outputWork) {
        this.promptUpstream = prefill == null ? output : prefill;
        this.outputUpstream = output;
        this.promptWork = promptWork;
        this.outputWork = outputWork;
        promptUpstream.promptWork += promptWork;
        promptUpstream.inFlight++;
        output.outputWork += outputWork;
        if (split()) {
            output.inFlight++;
        }
        output.recordRequest(promptWork + outputWork);
    }

    boolean split() {
        return promptUpstream != outputUpstream;
    }

    private boolean promptReleased;

    /**
     * Removes the prompt's work from its upstream and, on a separate prefill engine, the in-flight request. Returns
     * false when that was done before.
     */
    boolean finishPrompt() {
        if (promptReleased) {
            return false;
        }
        promptReleased = true;
        promptUpstream.promptWork = Math.max(0, promptUpstream.promptWork - promptWork);
        if (split()) {
            promptUpstream.inFlight--;
        }
        return true;
    }

    void recordTokens(int tokens) {
        double done = Math.min(tokens, outputWork);
        outputWork -= done;
        outputUpstream.outputWork = Math.max(0, outputUpstream.outputWork - done);
    }

    /** Removes the remaining work of the attempt; returns whether the prompt had been finished before. */
    boolean finish() {
        boolean promptDone = !finishPrompt();
        outputUpstream.outputWork = Math.max(0, outputUpstream.outputWork - outputWork);
        outputUpstream.inFlight--;
        return promptDone;
    }
}
