package org.wagtailcart.entry.call;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.keyed.AtMostOnceCall;
import org.wagtailcart.entry.request.CallerRequest;
import org.wagtailcart.once.KeyId;

/**
 * Tracker of at-most-once calls: starts them and counts those whose outcome is not settled, including those whose
 * caller has disconnected.
 */
public final class AtMostOnceCallTracker {
    private final CallContext context;
    private final Runnable onEnd;
    private final AtomicInteger openCount = new AtomicInteger();

    /**
     * Creates a tracker without calls.
     *
     * @param onEnd runs after each call has ended
     */
    public AtMostOnceCallTracker(CallContext context, Runnable onEnd) {
        this.context = context;
        this.onEnd = onEnd;
    }

    /** Returns the number of calls whose outcome is not settled. */
    public int openCount() {
        return openCount.get();
    }

    /**
     * Starts a call for a request with an idempotency key.
     *
     * @param executor executor of the caller's connection, on which this method must be called
     */
    public void start(CallerRequest request, CallerResponse response, Executor executor) {
        KeyId keyId = new KeyId(request.workspace(), request.idempotencyKey().orElseThrow());
        AtMostOnceCall call = new AtMostOnceCall(keyId, fingerprint(request), request.deadlineMillis());
        openCount.incrementAndGet();
        context.retryBudget().onRequest();
        new AtMostOnceCallDriver(context, request, response, executor, call, this::onCallEnded).start();
    }

    private void onCallEnded() {
        openCount.decrementAndGet();
        onEnd.run();
    }

    /**
     * Returns a hash of the service, method, path and body; two requests with the same hash count as the same request.
     */
    private static String fingerprint(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = request.pool() + "\n" + request.method() + "\n" + request.path() + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "SHA-256 is not available", e);
        }
    }
}
