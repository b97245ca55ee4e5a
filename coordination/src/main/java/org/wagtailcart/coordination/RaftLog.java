package org.wagtailcart.coordination;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.wire.Exchange;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;

/**
 * Replicated log on disk. One control thread runs the consensus and the state machine and never waits for the disk; a
 * storage thread does the syncs.
 */
public final class RaftLog implements ReplicatedLog, StorageThread.Listener {
    /** A command and the fields around it must fit into one frame of 4 MiB. */
    public static final int MAX_COMMAND_BYTES = 2 << 20;

    private static final Logger LOG = System.getLogger(RaftLog.class.getName());
    private static final int MAX_BATCH = 4_096;
    /** A sync that takes longer keeps operators waiting for their acknowledgement. */
    private static final long SLOW_DISK_MILLIS = 700;

    private static final long HAND_OVER_INTERVAL_MILLIS = 1_000;

    private final RaftOptions options;
    private final StateMachine stateMachine;
    private final MillisClock clock = MillisClock.monotonic();
    private final MillisClock wallClock = MillisClock.wall();
    private final RaftNode node;
    private final RaftTransport transport;
    private final StorageThread storageThread;
    private final List<InitialMember> initialMembers;
    private final GroupUpkeep upkeep;
    private final PendingCalls calls = new PendingCalls();
    private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final ExecutorService controlThread = Executors.newSingleThreadExecutor(DaemonThreads.named("control"));
    private final Meter proposalMeter;
    private final long tickMillis;

    private List<Proposal> proposalBatch = new ArrayList<>();
    private List<Long> readBatch = new ArrayList<>();
    private long stateTimeMillis;
    private long nextTickMillis;
    private long nextHandOverMillis;
    private boolean snapshotRuns;
    private @Nullable WagtailcartException failure;
    private volatile boolean closed;
    private volatile LogStatus status;

    private RaftLog(
            RaftOptions options,
            StateMachine stateMachine,
            PeerClient client,
            PeerDispatcher dispatcher,
            MetricRegistry registry) {
        this.options = options;
        this.stateMachine = stateMachine;
        this.proposalMeter = registry.meter("coordination.proposals");
        this.tickMillis = Math.max(1, options.timing().heartbeatMillis() / 6);
        RaftStorage storage = RaftStorage.open(options);
        long incarnation = storage.incarnation();
        MemberKey self = new MemberKey(options.memberId(), incarnation);
        NodeLog log = storage.takeLog();
        Snapshot snapshot = log.snapshot();
        if (snapshot != null) {
            stateMachine.restore(snapshot.data());
            stateTimeMillis = snapshot.timeMillis();
        }
        long nowMillis = clock.nowMillis();
        long seed = incarnation ^ System.nanoTime();
        node = new RaftNode(self, options.address(), options.timing(), storage.hardState(), log, seed, nowMillis);
        initialMembers = storage.initialMembers();
        upkeep = new GroupUpkeep(options, initialMembers, node, client, new UpkeepActions());
        transport = new RaftTransport(self, client);
        storageThread = new StorageThread(storage, this, registry);
        status = node.status(options.address());
        logOpened();
        transport.register(dispatcher, this::receive, this::submit, this::identity);
        dispatcher.register(RaftMessages.JoinRequest.class, this::receiveJoin);
    }

    /**
     * Opens the data folder, restores the state machine from the latest snapshot and starts the member. With an empty
     * folder the member waits until the group is founded or a leader adds it as a learner.
     *
     * @throws WagtailcartException with a code 3001 to 3003 when the data folder cannot be used
     */
    public static RaftLog open(
            RaftOptions options,
            StateMachine stateMachine,
            PeerClient client,
            PeerDispatcher dispatcher,
            MetricRegistry registry) {
        RaftLog log = new RaftLog(options, stateMachine, client, dispatcher, registry);
        log.storageThread.start();
        log.controlThread.execute(log::run);
        return log;
    }

    @Override
    public CompletableFuture<Object> propose(byte[] command) {
        CompletableFuture<Object> future = new CompletableFuture<>();
        if (command.length > MAX_COMMAND_BYTES) {
            future.completeExceptionally(new WagtailcartException(
                    ResultCode.PAYLOAD_TOO_LARGE,
                    "command of " + command.length + " bytes exceeds " + MAX_COMMAND_BYTES));
            return future;
        }
        call(future, () -> {
            if (calls.proposalCount() >= options.timing().maxPendingProposals()) {
                throw new WagtailcartException(
                        ResultCode.QUEUE_FULL, calls.proposalCount() + " proposals wait for a quorum already");
            }
            proposalMeter.mark();
            proposalBatch.add(new Proposal(calls.addProposal(future), command));
        });
        return future;
    }

    @Override
    public CompletableFuture<Long> confirmLeadership() {
        CompletableFuture<Long> future = new CompletableFuture<>();
        call(future, () -> readBatch.add(calls.addRead(future)));
        return future;
    }

    @Override
    public CompletableFuture<Members> changeMembers(MemberChange change) {
        CompletableFuture<Object> future = new CompletableFuture<>();
        call(future, () -> changeNow(future, change));
        return future.thenApply(Members.class::cast);
    }

    private void changeNow(CompletableFuture<Object> future, MemberChange change) {
        long id = calls.addProposal(future);
        try {
            perform(node.changeMembers(clock.nowMillis(), wallClock.nowMillis(), id, change));
        } catch (WagtailcartException e) {
            calls.failProposal(id, e);
        }
    }

    @Override
    public CompletableFuture<Void> transferLeadership() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        call(future, () -> {
            if (status.role() != LogStatus.Role.LEADER
                    || MembersCodec.voters(status.members()).size() == 1) {
                future.complete(null);
                return;
            }
            calls.addTransfer(future);
            perform(node.transfer(clock.nowMillis()));
        });
        return future;
    }

    @Override
    public LogStatus status() {
        return status;
    }

    @Override
    public <T> CompletableFuture<T> read(Supplier<T> task) {
        CompletableFuture<T> future = new CompletableFuture<>();
        call(future, () -> future.complete(task.get()));
        return future;
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        inbox.add(() -> {});
        controlThread.shutdown();
        try {
            controlThread.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        storageThread.close();
        inbox.forEach(Runnable::run);
    }

    @Override
    public void onStored(long storeNumber, List<RaftMessage> messages) {
        submit(() -> {
            messages.forEach(message -> transport.send(message, node.log().members()));
            perform(node.stored(clock.nowMillis(), storeNumber));
        });
    }

    @Override
    public void onSnapshotStored(Snapshot snapshot) {
        submit(() -> {
            snapshotRuns = false;
            node.compact(snapshot);
        });
    }

    @Override
    public void onStorageFailed(RuntimeException cause) {
        submit(() -> fail(cause));
    }

    /** Runs an action on the control thread; an exception fails the future. */
    private void call(CompletableFuture<?> future, Runnable action) {
        submit(() -> {
            try {
                requireRunning();
                action.run();
            } catch (RuntimeException e) {
                future.completeExceptionally(e);
            }
        });
    }

    private void requireRunning() {
        if (failure != null) {
            throw failure;
        }
        if (closed) {
            throw new WagtailcartException(ResultCode.SHUTTING_DOWN, "member is stopping");
        }
    }

    private void submit(Runnable task) {
        inbox.add(task);
    }

    private void receive(RaftMessage message) {
        submit(() -> {
            if (failure == null) {
                perform(node.step(clock.nowMillis(), message));
            }
        });
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        nextTickMillis = clock.nowMillis();
        while (!closed) {
            try {
                Runnable first = inbox.poll(Math.max(0, nextTickMillis - clock.nowMillis()), TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    inbox.drainTo(batch, MAX_BATCH);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            batch.forEach(this::runTask);
            batch.clear();
            runTask(this::afterBatch);
        }
        calls.failAll(new WagtailcartException(ResultCode.LEADERSHIP_LOST, "member is stopping"));
        calls.failTransfers("member is stopping");
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            fail(e);
        }
    }

    private void afterBatch() {
        if (failure != null) {
            nextTickMillis = clock.nowMillis() + tickMillis;
            return;
        }
        flushProposals();
        flushReads();
        long nowMillis = clock.nowMillis();
        if (nowMillis >= nextTickMillis) {
            nextTickMillis = nowMillis + tickMillis;
            perform(node.tick(nowMillis));
            upkeep.tick(nowMillis);
            handOverIfDiskIsSlow(nowMillis);
        }
        calls.completeReads(node.appliedIndex());
        snapshotIfDue();
        status = node.status(options.address());
    }

    private void flushProposals() {
        if (proposalBatch.isEmpty()) {
            return;
        }
        List<Proposal> batch = proposalBatch;
        proposalBatch = new ArrayList<>();
        try {
            perform(node.propose(clock.nowMillis(), wallClock.nowMillis(), batch));
        } catch (WagtailcartException e) {
            batch.forEach(proposal -> calls.failProposal(proposal.id(), e));
        }
    }

    private void flushReads() {
        if (readBatch.isEmpty()) {
            return;
        }
        List<Long> batch = readBatch;
        readBatch = new ArrayList<>();
        try {
            perform(node.read(clock.nowMillis(), batch));
        } catch (WagtailcartException e) {
            batch.forEach(id -> calls.failRead(id, e));
        }
    }

    private void perform(NodeOutput output) {
        if (failure != null || closed) {
            return;
        }
        output.events().stream()
                .filter(NodeEvent.Appended.class::isInstance)
                .forEach(event -> calls.appended((NodeEvent.Appended) event));
        if (output.store() != null || !output.messagesAfterStore().isEmpty()) {
            storageThread.submit(new StorageThread.StoreJob(output.store(), output.messagesAfterStore()));
        }
        output.messages().forEach(message -> transport.send(message, node.log().members()));
        Snapshot restored = output.restore();
        if (restored != null) {
            stateMachine.restore(restored.data());
            stateTimeMillis = Math.max(stateTimeMillis, restored.timeMillis());
        }
        output.apply().forEach(this::apply);
        output.events().forEach(this::handle);
    }

    private void apply(LogEntry entry) {
        stateTimeMillis = Math.max(stateTimeMillis, entry.timeMillis());
        switch (entry.kind()) {
            case NOOP -> calls.applied(entry, node.log().membersAt(entry.index()), null);
            case MEMBERS -> applyMembers(entry);
            case COMMAND -> applyCommand(entry);
        }
    }

    private void applyMembers(LogEntry entry) {
        Members members = MembersCodec.decode(entry.payload());
        LOG.log(Level.INFO, LogEvent.of("members-changed", "index", entry.index(), "members", members.members()));
        calls.applied(entry, members, null);
    }

    private void applyCommand(LogEntry entry) {
        try {
            calls.applied(entry, stateMachine.apply(entry.index(), stateTimeMillis, entry.payload()), null);
        } catch (WagtailcartException e) {
            calls.applied(entry, null, e);
        } catch (RuntimeException e) {
            // The same command fails on every member in the same way; stopping here would stop them all.
            LOG.log(Level.ERROR, LogEvent.of("apply-failed", "index", entry.index(), "reason", e), e);
            calls.applied(entry, null, new WagtailcartException(ResultCode.INTERNAL_ERROR, "apply failed: " + e, e));
        }
    }

    private void handle(NodeEvent event) {
        if (event instanceof NodeEvent.ReadConfirmed confirmed) {
            calls.readConfirmed(confirmed);
        } else if (event instanceof NodeEvent.LeadershipEnded ended) {
            calls.failAll(new WagtailcartException(ended.code(), ended.reason()));
            calls.completeTransfers();
        } else if (event instanceof NodeEvent.TransferFailed failed) {
            calls.failTransfers(failed.reason());
        } else if (event instanceof NodeEvent.RoleChanged changed) {
            LOG.log(
                    Level.INFO,
                    LogEvent.of(
                            "role-changed",
                            "member",
                            options.memberId(),
                            "role",
                            changed.role(),
                            "term",
                            changed.term()));
        }
    }

    private void snapshotIfDue() {
        if (snapshotRuns || !node.isSnapshotDue()) {
            return;
        }
        snapshotRuns = true;
        Snapshot snapshot = node.describeSnapshot(stateTimeMillis, stateMachine.snapshot());
        long base = node.retainedBase(snapshot);
        NodeLog log = node.log();
        storageThread.submit(new StorageThread.SnapshotJob(
                snapshot, base, log.termAt(base).orElseThrow(), log.between(base + 1, log.lastIndex())));
    }

    /** A leader whose disk does not answer can acknowledge nothing; another member can. */
    private void handOverIfDiskIsSlow(long nowMillis) {
        if (status.role() == LogStatus.Role.LEADER
                && storageThread.waitingMillis(nowMillis) > SLOW_DISK_MILLIS
                && nowMillis >= nextHandOverMillis
                && MembersCodec.voters(status.members()).size() > 1) {
            nextHandOverMillis = nowMillis + HAND_OVER_INTERVAL_MILLIS;
            LOG.log(Level.WARNING, LogEvent.of("disk-slow", "member", options.memberId()));
            try {
                perform(node.transfer(nowMillis));
            } catch (WagtailcartException e) {
                LOG.log(Level.INFO, LogEvent.of("hand-over-refused", "reason", e.getMessage()));
            }
        }
    }

    private void found(List<Member> voters) {
        LOG.log(Level.INFO, LogEvent.of("group-founded", "members", voters));
        perform(node.found(clock.nowMillis(), wallClock.nowMillis(), voters));
    }

    private void receiveJoin(Exchange exchange, Object request) {
        submit(() -> {
            upkeep.asked(clock.nowMillis(), ((RaftMessages.JoinRequest) request).member());
            List<Address> known =
                    node.log().members().members().stream().map(Member::address).toList();
            exchange.finish(new RaftMessages.JoinReply(known));
        });
    }

    /** What the upkeep of the group does through this member. */
    private final class UpkeepActions implements GroupUpkeep.Actions {
        @Override
        public void submit(Runnable task) {
            RaftLog.this.submit(task);
        }

        @Override
        public void found(List<Member> voters) {
            RaftLog.this.found(voters);
        }

        @Override
        public CompletableFuture<Object> change(MemberChange change) {
            CompletableFuture<Object> future = new CompletableFuture<>();
            changeNow(future, change);
            return future;
        }
    }

    private RaftMessages.IdentityReply identity() {
        Member self = new Member(options.memberId(), node.self().incarnation(), options.address(), false);
        return new RaftMessages.IdentityReply(self, node.isBlank(), initialMembers);
    }

    private void fail(RuntimeException cause) {
        WagtailcartException error = cause instanceof WagtailcartException known
                ? known
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, "member stopped after an error: " + cause, cause);
        failure = new WagtailcartException(error.code(), RunState.NOT_RUN, String.valueOf(error.getMessage()));
        LOG.log(Level.ERROR, LogEvent.of("member-failed", "code", error.code().number(), "reason", cause), cause);
        calls.failAll(
                new WagtailcartException(error.code(), RunState.MAY_HAVE_RUN, String.valueOf(error.getMessage())));
        calls.failTransfers("member failed");
    }

    private void logOpened() {
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        node.isBlank() ? "member-blank" : "member-opened",
                        "member",
                        options.memberId(),
                        "incarnation",
                        node.self().incarnation(),
                        "term",
                        node.hardState().term(),
                        "last-index",
                        node.log().lastIndex(),
                        "snapshot-index",
                        node.log().snapshotIndex()));
    }
}
