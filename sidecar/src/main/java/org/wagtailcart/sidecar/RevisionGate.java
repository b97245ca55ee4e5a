package org.wagtailcart.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Admission check on the settings revision of requests. Requests with a newer revision than this sidecar's are held
 * until a sync delivers it or the wait time ends; requests with an older one are rejected.
 */
final class RevisionGate {
    /** Result of the revision check. */
    enum Decision {
        PROCEED,
        WAIT,
        REJECT
    }

    private record HeldAttempt(Attempt attempt, long untilMillis) {}

    private final LongSupplier revision;
    private final MillisClock clock;
    private final long maxWaitMillis;
    private final List<HeldAttempt> held = new ArrayList<>();

    RevisionGate(LongSupplier revision, MillisClock clock, long waitMillis) {
        this.revision = revision;
        this.clock = clock;
        this.maxWaitMillis = waitMillis;
    }

    /** Returns the decision on a request; on WAIT the request is held. */
    synchronized Decision admitOrHold(Attempt attempt) {
        Decision decision = compare(attempt);
        if (decision == Decision.WAIT) {
            long until = Math.min(attempt.deadlineMillis(), clock.nowMillis() + maxWaitMillis);
            held.add(new HeldAttempt(attempt, until));
        }
        return decision;
    }

    /**
     * Removes and returns the held requests whose wait time or wait condition has ended; the caller compares them
     * again.
     */
    synchronized List<Attempt> takeReady() {
        long now = clock.nowMillis();
        List<HeldAttempt> due = held.stream()
                .filter(candidate -> candidate.untilMillis() <= now || compare(candidate.attempt()) != Decision.WAIT)
                .toList();
        held.removeAll(due);
        return due.stream().map(HeldAttempt::attempt).toList();
    }

    /** Removes a held request; returns whether it was held. */
    synchronized boolean remove(Attempt attempt) {
        return held.removeIf(candidate -> candidate.attempt() == attempt);
    }

    synchronized int size() {
        return held.size();
    }

    Decision compare(Attempt attempt) {
        int comparison = Long.compare(revision.getAsLong(), attempt.request().revision());
        if (comparison == 0) {
            return Decision.PROCEED;
        }
        return comparison < 0 ? Decision.WAIT : Decision.REJECT;
    }

    WagtailcartException staleRevisionError(Attempt attempt) {
        return new WagtailcartException(
                ResultCode.SETTINGS_REVISION_STALE,
                "settings revision " + attempt.request().revision() + " of the request differs from revision "
                        + revision.getAsLong() + " of the sidecar");
    }
}
