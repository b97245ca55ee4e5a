package org.wagtailcart.sidecar;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.ledger.AttemptLedger;
import org.wagtailcart.sidecar.message.AttemptQuery;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;

/** Epoch that the control group has assigned to this process, with its attempt ledger. Thread-safe. */
final class SidecarEpoch {
    private static final Logger LOG = System.getLogger(SidecarEpoch.class.getName());

    private final SidecarOptions options;
    private @Nullable AttemptLedger ledger;
    private long number;
    private boolean superseded;

    SidecarEpoch(SidecarOptions options) {
        this.options = options;
    }

    synchronized void onRegistered(long epoch) {
        number = epoch;
        ledger = new AttemptLedger(epoch, options.ledgerCapacity(), options.ledgerCapacityBytes());
    }

    /**
     * Compares the epoch of an upstream of this sidecar in the replicated state; a higher one supersedes this process.
     */
    synchronized void observe(long epoch) {
        if (number > 0 && epoch > number && !superseded) {
            superseded = true;
            LOG.log(Level.ERROR, LogEvent.of("epoch-superseded", "epoch", number, "latest", epoch));
        }
    }

    /** Returns the epoch, or 0 while the process is not registered. */
    synchronized long number() {
        return number;
    }

    synchronized boolean superseded() {
        return superseded;
    }

    /** Returns whether this process may carry out orders and non-idempotent calls. */
    synchronized boolean valid() {
        return number > 0 && !superseded;
    }

    synchronized int recordedAttempts() {
        return ledger == null ? 0 : ledger.size();
    }

    synchronized long floor() {
        return ledger == null ? 0 : ledger.floor();
    }

    /**
     * Claims an attempt for sending. An idempotent attempt is not recorded; it only requires that the epoch is not
     * superseded.
     *
     * @throws WagtailcartException if the attempt must not be sent
     */
    synchronized void claim(AttemptRequest request) {
        if (request.nonIdempotent()) {
            requireLedger(request).claim(request.attemptId(), request.attemptNumber(), request.epoch());
        }
        if (superseded) {
            recordNotSent(request);
            throw new WagtailcartException(
                    ResultCode.EPOCH_SUPERSEDED, "sidecar " + options.sidecarId() + " has a superseded epoch");
        }
    }

    /**
     * Fails with MAY_HAVE_RUN without a ledger, because an earlier process with the attempt's epoch may have sent it.
     */
    private AttemptLedger requireLedger(AttemptRequest request) {
        return Optional.ofNullable(ledger)
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.EPOCH_UNKNOWN,
                        RunState.MAY_HAVE_RUN,
                        "sidecar " + options.sidecarId() + " is not registered and has no epoch; attempt "
                                + request.attemptId() + " has epoch " + request.epoch()));
    }

    synchronized void recordResponse(AttemptRequest request, RecordedResponse response) {
        if (request.nonIdempotent() && ledger != null) {
            ledger.recordResponse(request.attemptId(), response);
        }
    }

    synchronized void recordNotSent(AttemptRequest request) {
        if (request.nonIdempotent() && ledger != null) {
            ledger.recordNotSent(request.attemptId());
        }
    }

    synchronized void recordUnknown(AttemptRequest request) {
        if (request.nonIdempotent() && ledger != null) {
            ledger.recordUnknown(request.attemptId());
        }
    }

    synchronized AttemptStatus query(AttemptQuery query) {
        return ledger == null
                ? new AttemptStatus(AttemptStatus.State.UNKNOWN, null)
                : ledger.query(query.attemptId(), query.attemptNumber(), query.epoch());
    }
}
