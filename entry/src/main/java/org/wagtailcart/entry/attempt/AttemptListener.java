package org.wagtailcart.entry.attempt;

import java.util.List;
import org.wagtailcart.common.WagtailcartException;

/**
 * Listener for the validated response to one attempt. Exactly one of {@link #onComplete} and {@link #onFailed} is
 * called, once and as the last call.
 */
public interface AttemptListener {
    /** Receives status and header lines. */
    void onStarted(int status, List<String> headers);

    /** Receives the next chunk of the body. */
    void onBytes(byte[] bytes);

    /** Called when the body is complete and its counts match the end marker. */
    void onComplete();

    /** Called when the attempt failed; the run state of the error says whether it may have run. */
    void onFailed(WagtailcartException error);
}
