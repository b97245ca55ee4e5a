package org.wagtailcart.entry.attempt;

import java.util.List;
import org.wagtailcart.common.WagtailcartException;

/** Receives the checked answer to one attempt. One of the last two methods is called exactly once, as the last call. */
public interface AttemptListener {
    /** Receives status and header lines. */
    void onStarted(int status, List<String> headers);

    /** Receives the next part of the body. */
    void onBytes(byte[] bytes);

    /** The body is complete and its counts match. */
    void onComplete();

    /** The attempt failed; the run state of the error says whether it may have run. */
    void onFailed(WagtailcartException error);
}
