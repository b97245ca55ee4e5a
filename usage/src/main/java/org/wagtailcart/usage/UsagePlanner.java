package org.wagtailcart.usage;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * Decides when the leader closes a window and which closed window it reports. It accesses no clock. Not thread safe.
 */
public final class UsagePlanner {
    /**
     * Time after the end of a window at which it may be closed. The last counts arrive with the next poll, after at most
     * 250 ms, or 700 ms after the loss of one; errors of the estimates of true time are small against the rest.
     */
    static final long MIN_GRACE_MILLIS = 2_000;
    /** Time after the end of a window at which it is closed though counts are missing; half of what a report has. */
    static final long MAX_GRACE_MILLIS = 5_000;
    /**
     * Time for which a new leader, or one that no gateway reached for some time, collects counts before it closes a
     * window, since it does not know which gateways exist. A gateway gives up a poll of the former leader after 700 ms,
     * and sends all its counts with its second poll; four more polls may be lost. With the usual lease of 3 s, a holder
     * that follows another one may not report for as long, so that reports are not later for it.
     */
    static final long OBSERVE_MILLIS = 4_500;
    /**
     * Longest time after the end of a window at which it is closed though no gateway polls. For this long gateways keep
     * its counts, so that they are not lost if the contact returns; afterwards waiting is of no use.
     */
    static final long NO_CONTACT_GRACE_MILLIS = UsageCounter.RETENTION_MILLIS;
    /** Number of windows that are closed late; gateways keep the counts of 30 s. */
    public static final long MAX_OPEN_WINDOWS = 12;

    private final long windowMillis;
    private final long lateMillis;
    private final long noContactGraceMillis;
    /**
     * Monotonic time at which there was a true time for the first time. The true time of this moment is derived from the
     * latest estimate, since the first one may be wrong.
     */
    private OptionalLong firstPlanMillis = OptionalLong.empty();

    private long nextCallMillis = Long.MIN_VALUE;
    private int failures;

    /**
     * Creates a planner.
     *
     * @param lateMillis time after the end of a window at which its report is late
     */
    public UsagePlanner(long windowMillis, long lateMillis) {
        this.windowMillis = windowMillis;
        this.lateMillis = lateMillis;
        // A window must be closed before it is older than those that are looked at.
        this.noContactGraceMillis = Math.min(NO_CONTACT_GRACE_MILLIS, (MAX_OPEN_WINDOWS - 2) * windowMillis);
    }

    /** Returns what to do now. */
    public UsagePlan plan(UsageObservation observation, UsageState state) {
        if (observation.trueTimeMillis().isEmpty()) {
            return UsagePlan.NONE;
        }
        if (firstPlanMillis.isEmpty()) {
            firstPlanMillis = OptionalLong.of(observation.nowMillis());
        }
        long trueMillis = observation.trueTimeMillis().getAsLong();
        long firstTrueMillis = trueMillis - (observation.nowMillis() - firstPlanMillis.getAsLong());
        long next = nextWindow(observation, state, windowAt(firstTrueMillis), windowAt(trueMillis));
        return new UsagePlan(
                mayClose(next, observation, trueMillis) ? OptionalLong.of(next) : OptionalLong.empty(),
                observation.nowMillis() < nextCallMillis ? Optional.empty() : mostUrgent(state, trueMillis));
    }

    /**
     * Returns the oldest window that is not closed. Windows after the current one, which a wrong estimate of true time
     * may have closed, do not keep the others open.
     */
    private long nextWindow(UsageObservation observation, UsageState state, long firstWindow, long currentWindow) {
        long begin = Math.min(firstWindow, observation.earliestWindow().orElse(Long.MAX_VALUE));
        long known = state.firstWindow().orElse(Long.MAX_VALUE);
        long oldest = Math.max(currentWindow - MAX_OPEN_WINDOWS, known <= currentWindow ? known : begin);
        return LongStream.rangeClosed(oldest, currentWindow)
                .filter(window -> state.find(window).isEmpty())
                .findFirst()
                .orElse(currentWindow + 1);
    }

    private long windowAt(long trueMillis) {
        return Math.floorDiv(trueMillis, windowMillis);
    }

    private boolean mayClose(long window, UsageObservation observation, long trueMillis) {
        long end = endMillis(window);
        long leadingMillis = observation.nowMillis() - observation.observedSinceMillis();
        if (observation.contactSinceMillis().isEmpty()) {
            return leadingMillis >= OBSERVE_MILLIS && trueMillis >= end + noContactGraceMillis;
        }
        boolean complete = observation.completeUntilMillis() >= end;
        // After a time without contact, a member knows as little of the gateways as a new leader.
        long observedMillis = Math.min(
                leadingMillis,
                observation.nowMillis() - observation.contactSinceMillis().getAsLong());
        return observedMillis >= OBSERVE_MILLIS && trueMillis >= end + (complete ? MIN_GRACE_MILLIS : MAX_GRACE_MILLIS);
    }

    /** Returns the oldest window whose report can be in time, or else the oldest one. */
    private Optional<ClosedUsageWindow> mostUrgent(UsageState state, long trueMillis) {
        return state.windows().stream()
                .filter(closed -> !closed.reported() && endMillis(closed.window()) <= trueMillis)
                .min(Comparator.comparing((ClosedUsageWindow closed) -> latenessMillis(closed.window(), trueMillis) > 0)
                        .thenComparing(ClosedUsageWindow::window));
    }

    /** Records the outcome of a report, which determines when the next call is made. */
    public void recordOutcome(UsageReportOutcome outcome, long nowMillis) {
        failures = outcome.accepted() ? 0 : failures + 1;
        nextCallMillis = nowMillis + outcome.delayMillis(failures);
    }

    /** Returns the true time at which a window ends. */
    public long endMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /** Returns by how much a report of a window is late, negative if it is in time. */
    public long latenessMillis(long window, long trueMillis) {
        return trueMillis - endMillis(window) - lateMillis;
    }
}
