package org.wagtailcart.gateway.report;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.RunState;
import org.wagtailcart.usage.UsageBatch;
import org.wagtailcart.usage.UsageCounter;

/** Counts the requests that upstreams began to run, and exchanges the counts with the control group. Thread safe. */
public final class UsageMeter implements RunListener, UsageReports {
    /**
     * State for operators.
     *
     * @param hasTrueTime whether a member has sent its estimate of true time; until then nothing is sent
     * @param windows number of windows with counts
     * @param openAttempts number of plain calls whose begin is not known yet
     * @param unacknowledgedBatches number of batches since the last one that the member acknowledged
     */
    public record Dump(boolean hasTrueTime, int windows, int openAttempts, long unacknowledgedBatches) {}

    private final UsageCounter counter;
    private final MillisClock clock;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    /** Send times of the attempts whose begin is not known yet. */
    private final Map<PlainAttempt, Long> openAttempts = new ConcurrentHashMap<>();

    /** Creates a meter. */
    public UsageMeter(UsageCounter counter, MillisClock clock, MetricRegistry registry) {
        this.counter = counter;
        this.clock = clock;
        registry.registerGauge("gateway.usage.windows", counter::windows);
        registry.registerGauge("gateway.usage.has-true-time", () -> counter.hasTrueTime() ? 1 : 0);
    }

    private final class PlainAttempt implements PlainRun {
        private final String workspace;
        private final String upstreamId;
        private final long sentAtMillis;

        PlainAttempt(String workspace, String upstreamId, long sentAtMillis) {
            this.workspace = workspace;
            this.upstreamId = upstreamId;
            this.sentAtMillis = sentAtMillis;
        }

        @Override
        public void ended(RunState state, long atMillis) {
            if (!openAttempts.containsKey(this)) {
                return;
            }
            if (state != RunState.NOT_RUN) {
                counter.recordBegin(workspace, beganAtMillis(state, atMillis));
            }
            // The count is complete only after the begin is recorded.
            openAttempts.remove(this);
        }

        /** An attempt without a response is taken to have begun at once, since nothing shows when it did. */
        private long beganAtMillis(RunState state, long atMillis) {
            return state == RunState.RAN
                    ? serviceTimes.beganAtMillis(upstreamId, sentAtMillis, atMillis)
                    : sentAtMillis;
        }
    }

    /** Returns the state for operators. */
    public Dump dump() {
        return new Dump(counter.hasTrueTime(), counter.windows(), openAttempts.size(), counter.unacknowledgedBatches());
    }

    @Override
    public PlainRun plainSent(String workspace, String upstreamId, long sentAtMillis) {
        PlainAttempt attempt = new PlainAttempt(workspace, upstreamId, sentAtMillis);
        openAttempts.put(attempt, sentAtMillis);
        return attempt;
    }

    @Override
    public void streamBegan(String workspace, long beganAtMillis) {
        counter.recordBegin(workspace, beganAtMillis);
    }

    @Override
    public Optional<UsageBatch> nextBatch() {
        long nowMillis = clock.nowMillis();
        long completeUntilMillis =
                openAttempts.values().stream().mapToLong(Long::longValue).min().orElse(nowMillis);
        return counter.nextBatch(Math.min(nowMillis, completeUntilMillis), nowMillis);
    }

    @Override
    public void applyReply(long trueTimeMillis, long acknowledged, long receivedAtMillis) {
        counter.applyReply(trueTimeMillis, acknowledged, receivedAtMillis);
    }
}
