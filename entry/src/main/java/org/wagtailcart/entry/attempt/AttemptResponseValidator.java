package org.wagtailcart.entry.attempt;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptStarted;

/** Validator that the events of one attempt form a complete response. Performs no I/O. */
final class AttemptResponseValidator {
    /** Whether a valid event is delivered or dropped. */
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
     * Validates a chunk of the body. A repeated chunk and a chunk of another attempt are dropped.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when the status or a chunk before it is
     *     missing
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
     * Validates the end marker.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when its counts differ from the received
     *     ones, with {@link ResultCode#ANSWER_MISMATCH} when it belongs to another attempt
     */
    void validate(AttemptEnd event) {
        if (!event.attemptId().equals(attemptId)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH, "end of attempt " + event.attemptId() + " arrived for " + attemptId);
        }
        if (!started || event.chunks() != chunks || event.sizeBytes() != sizeBytes) {
            throw incomplete("end marker states " + event.chunks() + " chunks and " + event.sizeBytes() + " bytes; "
                    + chunks + " and " + sizeBytes + " arrived");
        }
    }

    private WagtailcartException incomplete(String text) {
        return new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "attempt " + attemptId + ": " + text);
    }
}
