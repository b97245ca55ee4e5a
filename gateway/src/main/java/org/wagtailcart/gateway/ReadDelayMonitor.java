package org.wagtailcart.gateway;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.common.MillisClock;
import org.xnio.XnioIoThread;

/**
 * Bound on the time for which a request may have waited in the buffers of its socket before the I/O thread read it. A
 * thread without enough processor time, as after a start under load, reads requests long after they were sent, and
 * their timeouts have to be counted from then.
 *
 * <p>The I/O thread reads everything that has arrived once per pass of its event loop, so that a request that it reads
 * now has arrived after the start of the previous pass. The monitor is confined to that thread.
 */
final class ReadDelayMonitor {
    /** Interval of the timestamps, and thereby the resolution of the bound. */
    private static final long INTERVAL_MILLIS = 10;
    /** Time between the last but one timestamp and now when the thread is not delayed. */
    private static final long UNDELAYED_MILLIS = 2 * INTERVAL_MILLIS;

    private final MillisClock clock;
    private long previousPassMillis;
    private long currentPassMillis;

    ReadDelayMonitor(MillisClock clock) {
        this.clock = clock;
        this.previousPassMillis = clock.nowMillis();
        this.currentPassMillis = previousPassMillis;
    }

    /** Starts to take timestamps on the thread. */
    void start(XnioIoThread thread) {
        thread.execute(() -> takeTimestamp(thread));
    }

    /** Returns the earliest time at which a request may have arrived that is read now. */
    long earliestArrivalMillis() {
        return Math.min(clock.nowMillis(), previousPassMillis + UNDELAYED_MILLIS);
    }

    /** Records the start of a pass of the event loop. */
    void passStarted() {
        previousPassMillis = currentPassMillis;
        currentPassMillis = clock.nowMillis();
    }

    private void takeTimestamp(XnioIoThread thread) {
        passStarted();
        try {
            thread.executeAfter(() -> takeTimestamp(thread), INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The thread is terminating because the gateway stops.
        }
    }
}
