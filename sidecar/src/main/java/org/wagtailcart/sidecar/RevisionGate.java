package org.wagtailcart.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Compares the settings revision of each request with the one in force here, and keeps requests that came early. */
final class RevisionGate {
    /** What to do with a request. */
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

    /** Decides on a request; one that has to wait is kept. */
    synchronized Decision admitOrHold(Attempt attempt) {
        Decision verdict = compare(attempt);
        if (verdict == Decision.WAIT) {
            long until = Math.min(attempt.deadlineMillis(), clock.nowMillis() + maxWaitMillis);
            held.add(new HeldAttempt(attempt, until));
        }
        return verdict;
    }

    /** Removes and returns the requests that wait no longer; each of them is to be judged again. */
    synchronized List<Attempt> takeReady() {
        long now = clock.nowMillis();
        List<HeldAttempt> due = held.stream()
                .filter(one -> one.untilMillis() <= now || compare(one.attempt()) != Decision.WAIT)
                .toList();
        held.removeAll(due);
        return due.stream().map(HeldAttempt::attempt).toList();
    }

    /** Removes a request that waits; returns whether it did. */
    synchronized boolean remove(Attempt attempt) {
        return held.removeIf(one -> one.attempt() == attempt);
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
                "settings revision " + attempt.request().revision() + " of the request is not revision "
                        + revision.getAsLong() + " in force at the sidecar");
    }
}
