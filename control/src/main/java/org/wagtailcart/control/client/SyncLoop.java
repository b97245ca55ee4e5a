package org.wagtailcart.control.client;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;

/** Client loop that syncs a process with one control member every second and holds the synced state. */
public final class SyncLoop implements ControlView, AutoCloseable {
    /** Sends one sync to one member. */
    @FunctionalInterface
    public interface Transport {
        CompletableFuture<Record> call(Address member, SyncRequest request, long timeoutMillis);
    }

    private static final Logger LOG = System.getLogger(SyncLoop.class.getName());
    private static final long INTERVAL_MILLIS = 1_000;
    // Spreads the syncs of processes that started, or lost the same member, at the same time.
    private static final int JITTER_MILLIS = 200;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private final ProcessIdentity identity;
    private final List<Address> members;
    private final Transport transport;
    private final MessageCodec codec;
    private final ScheduledExecutorService scheduler;
    private final Supplier<List<LoadReport>> loadReports;
    private final MillisClock clock;
    private final Random jitter;
    private final List<Runnable> changeListeners = new CopyOnWriteArrayList<>();
    private volatile SyncedState state = SyncedState.INITIAL;

    // Guarded by this.
    private int memberIndex;
    private boolean started;
    private boolean closed;
    private boolean inFlight;
    private boolean syncRequested;
    private long timerGeneration;

    /**
     * Creates a loop over peer connections. It must be started.
     *
     * @param members peer addresses of the control members
     * @param reports supplies the load reports sent with each sync
     */
    public SyncLoop(
            ProcessIdentity identity,
            List<Address> members,
            PeerClient peers,
            MessageCodec codec,
            ScheduledExecutorService scheduler,
            Supplier<List<LoadReport>> reports) {
        this(
                identity,
                members,
                (member, request, timeoutMillis) -> peers.call(member, request, Record.class, timeoutMillis),
                codec,
                scheduler,
                reports,
                MillisClock.monotonic());
    }

    /** Creates a loop over a transport. It must be started. */
    public SyncLoop(
            ProcessIdentity identity,
            List<Address> members,
            Transport transport,
            MessageCodec codec,
            ScheduledExecutorService scheduler,
            Supplier<List<LoadReport>> reports,
            MillisClock clock) {
        if (members.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "no control member address is given; at least one is required");
        }
        this.identity = identity;
        this.members = List.copyOf(members);
        this.transport = transport;
        this.codec = codec;
        this.scheduler = scheduler;
        this.loadReports = reports;
        this.clock = clock;
        this.memberIndex = Math.floorMod(identity.processId().hashCode(), members.size());
        this.jitter = new Random(identity.incarnation());
    }

    /** Starts the loop: sends the first sync immediately, then one each second. */
    public synchronized void start() {
        started = true;
        requestSync();
    }

    @Override
    public SettingsTree settings() {
        return state.settings();
    }

    @Override
    public Optional<UpstreamView> upstream(String upstreamId) {
        return Optional.ofNullable(state.upstreams().get(upstreamId));
    }

    @Override
    public Collection<UpstreamView> upstreams() {
        return state.upstreams().values();
    }

    @Override
    public long leaseDeadlineMillis() {
        return state.leaseDeadlineMillis();
    }

    @Override
    public long powerGrantDeadlineMillis(String upstreamId) {
        return state.grantDeadlinesMillis().getOrDefault(upstreamId, 0L);
    }

    @Override
    public int entryCount() {
        return state.entryCount();
    }

    @Override
    public synchronized void requestSync() {
        if (!started || closed) {
            return;
        }
        if (inFlight) {
            syncRequested = true;
            return;
        }
        inFlight = true;
        syncRequested = false;
        timerGeneration++;
        schedule(this::sync, 0);
    }

    @Override
    public void onChange(Runnable action) {
        changeListeners.add(action);
    }

    /** Stops the loop. The last synced state stays readable. */
    @Override
    public synchronized void close() {
        closed = true;
    }

    private void sync() {
        SyncedState before = state;
        Address member = currentMember();
        long sentAtMillis = clock.nowMillis();
        try {
            SyncRequest request = new SyncRequest(
                    identity.processId(),
                    identity.incarnation(),
                    identity.role(),
                    identity.host(),
                    identity.failureDomain(),
                    before.settings().revision(),
                    before.fleetVersion(),
                    loadReports.get());
            CompletableFuture<Record> unused = transport
                    .call(member, request, CALL_TIMEOUT_MILLIS)
                    .whenComplete((reply, error) -> handleCompletion(member, before, sentAtMillis, reply, error));
        } catch (RuntimeException e) {
            handleCompletion(member, before, sentAtMillis, null, e);
        }
    }

    private void handleCompletion(
            Address member, SyncedState before, long sentAtMillis, @Nullable Record reply, @Nullable Throwable error) {
        boolean installed = false;
        try {
            if (reply == null) {
                logFailure(member, error);
            } else {
                installed = install(before, sentAtMillis, reply);
            }
        } catch (RuntimeException e) {
            logFailure(member, e);
        }
        scheduleNext(installed);
    }

    private boolean install(SyncedState before, long sentAtMillis, Record reply) {
        SyncedState after = before.withReply(SyncReplyCompression.decompress(codec, reply), sentAtMillis);
        if (after.equals(before)) {
            return false;
        }
        state = after;
        if (after.versionsDifferFrom(before)) {
            changeListeners.forEach(SyncLoop::notifyListener);
        }
        return true;
    }

    private static void notifyListener(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.of("sync-action-failed", "reason", e), e);
        }
    }

    private synchronized Address currentMember() {
        return members.get(memberIndex);
    }

    private synchronized void scheduleNext(boolean installed) {
        inFlight = false;
        if (closed) {
            return;
        }
        if (!installed) {
            memberIndex = (memberIndex + 1) % members.size();
        }
        if (installed && syncRequested) {
            requestSync();
            return;
        }
        long delayMillis = installed ? INTERVAL_MILLIS - JITTER_MILLIS / 2 : RETRY_DELAY_MILLIS;
        long timer = ++timerGeneration;
        schedule(() -> onTimer(timer), delayMillis + jitter.nextInt(JITTER_MILLIS));
    }

    private synchronized void onTimer(long timer) {
        if (timer == timerGeneration) {
            requestSync();
        }
    }

    private void schedule(Runnable task, long delayMillis) {
        try {
            ScheduledFuture<?> unused = scheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, LogEvent.of("sync-stopped", "process", identity.processId()));
        }
    }

    private void logFailure(Address member, @Nullable Throwable error) {
        LOG.log(
                Level.DEBUG,
                LogEvent.of(
                        "sync-failed", "member", member, "reason", error == null ? "no reply" : error.getMessage()));
    }
}
