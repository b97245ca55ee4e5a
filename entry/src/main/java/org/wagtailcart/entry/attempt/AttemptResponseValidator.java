package org.wagtailcart.entry.attempt;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptStarted;

/** Checks that the events of one attempt form a whole answer. Pure. */
final class AttemptResponseValidator {
    /** What to do with an event that passed. */
    enum Decision {
        ACCEPT,
        DROP
    }

    private final String attemptId;
    private boolean started;
    private long chunks;
    private long sizeBytes;

    AttemptResponseValidator(String attemptId) {
        this.attemptId = attemptId;
    }

    Decision validate(AttemptStarted event) {
        if (!event.attemptId().equals(attemptId) || started) {
            return Decision.DROP;
        }
        started = true;
        return Decision.ACCEPT;
    }

    /**
     * Checks a part of the body. A repeated part is dropped.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when a part is missing before it
     */
    Decision validate(AttemptChunk event) {
        if (!event.attemptId().equals(attemptId) || event.sequence() < chunks) {
            return Decision.DROP;
        }
        if (!started || event.sequence() > chunks) {
            throw incomplete("chunk " + event.sequence() + " arrived where " + (started ? "chunk " + chunks : "status")
                    + " was expected");
        }
        chunks++;
        sizeBytes += event.bytes().length;
        return Decision.ACCEPT;
    }

    /**
     * Checks the end marker.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when counts differ, with
     *     {@link ResultCode#ANSWER_MISMATCH} when it ends another attempt
     */
    void validate(AttemptEnd event) {
        if (!event.attemptId().equals(attemptId)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH, "end of attempt " + event.attemptId() + " arrived for " + attemptId);
        }
        if (!started || event.chunks() != chunks || event.sizeBytes() != sizeBytes) {
            throw incomplete("end states " + event.chunks() + " chunks and " + event.sizeBytes() + " bytes; " + chunks
                    + " and " + sizeBytes + " arrived");
        }
    }

    private WagtailcartException incomplete(String text) {
        return new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "attempt " + attemptId + ": " + text);
    }
}
