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

    private record Waiting(Attempt attempt, long untilMillis) {}

    private final LongSupplier revision;
    private final MillisClock clock;
    private final long waitMillis;
    private final List<Waiting> waiting = new ArrayList<>();

    RevisionGate(LongSupplier revision, MillisClock clock, long waitMillis) {
        this.revision = revision;
        this.clock = clock;
        this.waitMillis = waitMillis;
    }

    /** Decides on a request; one that has to wait is kept. */
    synchronized Decision offer(Attempt attempt) {
        Decision verdict = judge(attempt);
        if (verdict == Decision.WAIT) {
            long until = Math.min(attempt.deadlineMillis(), clock.nowMillis() + waitMillis);
            waiting.add(new Waiting(attempt, until));
        }
        return verdict;
    }

    /** Removes and returns the requests that wait no longer; each of them is to be judged again. */
    synchronized List<Attempt> due() {
        long now = clock.nowMillis();
        List<Waiting> due = waiting.stream()
                .filter(one -> one.untilMillis() <= now || judge(one.attempt()) != Decision.WAIT)
                .toList();
        waiting.removeAll(due);
        return due.stream().map(Waiting::attempt).toList();
    }

    /** Removes a request that waits; returns whether it did. */
    synchronized boolean remove(Attempt attempt) {
        return waiting.removeIf(one -> one.attempt() == attempt);
    }

    synchronized int size() {
        return waiting.size();
    }

    Decision judge(Attempt attempt) {
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
