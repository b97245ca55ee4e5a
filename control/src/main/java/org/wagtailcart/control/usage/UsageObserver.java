package org.wagtailcart.control.usage;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.usage.TrueTime;
import org.wagtailcart.usage.UsageBatch;
import org.wagtailcart.usage.UsageLedger;

/** What a control member learns from the polls of gateways about clocks and usage. Thread safe. */
public final class UsageObserver {
    private final String memberId;
    private final MillisClock wallClock;
    private final TrueTime trueTime = new TrueTime();
    private final UsageLedger ledger = new UsageLedger();

    /** Creates an observer that has seen no poll. */
    public UsageObserver(String memberId, MillisClock wallClock) {
        this.memberId = memberId;
        this.wallClock = wallClock;
    }

    /** Records the report of a gateway that arrived at a monotonic time. */
    public void record(String processId, long wallClockMillis, @Nullable UsageBatch batch, long nowMillis) {
        trueTime.record("gateway/" + processId, wallClockMillis, nowMillis);
        if (batch == null) {
            ledger.recordPoll(processId, nowMillis);
        } else {
            ledger.record(processId, batch, nowMillis);
        }
    }

    /** Returns the true time at a monotonic time, empty before there is an estimate. */
    public OptionalLong trueTimeMillis(long nowMillis) {
        trueTime.record("member/" + memberId, wallClock.nowMillis(), nowMillis);
        return trueTime.at(nowMillis);
    }

    /** Returns the number of the last batch up to which this member has all counts of a process, 0 for none. */
    public long acknowledged(String processId) {
        return ledger.acknowledged(processId);
    }

    /** Returns the counts of the gateways. */
    public UsageLedger ledger() {
        return ledger;
    }

    /** Returns the number of hosts whose clock was read lately. */
    public int clocks() {
        return trueTime.clocks();
    }
}
