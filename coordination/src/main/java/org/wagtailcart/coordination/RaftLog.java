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
 * Raft implementation of the replicated log. A control thread runs the consensus and the state machine and never waits
 * for the disk; a storage thread writes and syncs.
 */
public final class RaftLog implements ReplicatedLog, StorageThread.Listener {
    /** Limit on a command, which must fit into one frame of 4 MiB together with the fields around it. */
    public static final int MAX_COMMAND_BYTES = 2 << 20;

    private static final Logger LOG = System.getLogger(RaftLog.class.getName());
    private static final int MAX_BATCH_TASKS = 4_096;
    /** A leader whose sync takes longer transfers leadership, because it delays every acknowledgement to operators. */
    private static final long SLOW_SYNC_MILLIS = 700;

    private static final long TRANSFER_INTERVAL_MILLIS = 1_000;
    private static final long SNAPSHOT_RETRY_INTERVAL_MILLIS = 1_000;

    private final RaftOptions options;
    private final StateMachine stateMachine;
    private final MillisClock clock = MillisClock.monotonic();
    private final MillisClock wallClock = MillisClock.wall();
    private final RaftNode node;
    private final RaftTransport transport;
    private final StorageThread storageThread;
    private final List<InitialMember> initialMembers;
    private final MembershipManager membershipManager;
    private final PendingCalls pendingCalls = new PendingCalls();
    private final BlockingQueue<Runnable> taskQueue = new LinkedBlockingQueue<>();
    private final ExecutorService controlThread = Executors.newSingleThreadExecutor(DaemonThreads.named("control"));
    private final Meter proposalMeter;
    private final long tickMillis;

    private List<Proposal> proposalBatch = new ArrayList<>();
    private List<Long> readBatch = new ArrayList<>();
    private long stateTimeMillis;
    private long nextTickMillis;
    private long nextTransferMillis;
    private boolean snapshotInProgress;
    private long nextSnapshotMillis = Long.MIN_VALUE;
    private @Nullable WagtailcartException failure;
    private volatile boolean closed;
    private volatile RaftStatus status;

    private RaftLog(
            RaftOptions options,
            StateMachine stateMachine,
            PeerClient client,
            PeerDispatcher dispatcher,
            MetricRegistry registry) {
        this.options = options;
        this.stateMachine = stateMachine;
        this.proposalMeter = registry.meter("coordination.proposals");
        this.tickMillis = Math.max(1, options.tuning().heartbeatMillis() / 6);
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
        node = new RaftNode(self, options.address(), options.tuning(), storage.hardState(), log, seed, nowMillis);
        initialMembers = storage.initialMembers();
        membershipManager = new MembershipManager(options, initialMembers, node, client, new MembershipActions());
        transport = new RaftTransport(self, client);
        storageThread = new StorageThread(storage, this, registry);
        status = node.status(options.address());
        logOpened();
        transport.register(dispatcher, this::receive, this::submit, this::identity);
        dispatcher.register(RaftMessageTypes.JoinRequest.class, this::onJoinRequest);
    }

    /**
     * Opens the data folder, restores the state machine from the latest snapshot and starts the member. With an empty
     * folder the member stays uninitialized until the group is bootstrapped or a leader adds it as a learner.
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
                    "command of " + command.length + " bytes exceeds the limit of " + MAX_COMMAND_BYTES));
            return future;
        }
        submitCall(future, () -> {
            if (pendingCalls.proposalCount() >= options.tuning().maxPendingProposals()) {
                throw new WagtailcartException(
                        ResultCode.QUEUE_FULL,
                        pendingCalls.proposalCount() + " proposals are already waiting for a quorum");
            }
            proposalMeter.mark();
            proposalBatch.add(new Proposal(pendingCalls.addProposal(future), command));
        });
        return future;
    }

    @Override
    public CompletableFuture<Long> confirmLeadership() {
        CompletableFuture<Long> future = new CompletableFuture<>();
        submitCall(future, () -> readBatch.add(pendingCalls.addRead(future)));
        return future;
    }

    @Override
    public CompletableFuture<Membership> changeMembership(MembershipChange change) {
        CompletableFuture<Object> future = new CompletableFuture<>();
        submitCall(future, () -> proposeMembershipChange(future, change));
        return future.thenApply(Membership.class::cast);
    }

    private void proposeMembershipChange(CompletableFuture<Object> future, MembershipChange change) {
        long id = pendingCalls.addProposal(future);
        try {
            process(node.changeMembership(clock.nowMillis(), wallClock.nowMillis(), id, change));
        } catch (WagtailcartException e) {
            pendingCalls.failProposal(id, e);
        }
    }

    @Override
    public CompletableFuture<Void> transferLeadership() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        submitCall(future, () -> {
            if (status.role() != RaftStatus.Role.LEADER
                    || Memberships.voters(status.membership()).size() == 1) {
                future.complete(null);
                return;
            }
            pendingCalls.addTransfer(future);
            process(node.transfer(clock.nowMillis()));
        });
        return future;
    }

    @Override
    public RaftStatus status() {
        return status;
    }

    @Override
    public <T> CompletableFuture<T> read(Supplier<T> task) {
        CompletableFuture<T> future = new CompletableFuture<>();
        submitCall(future, () -> future.complete(task.get()));
        return future;
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        taskQueue.add(() -> {});
        controlThread.shutdown();
        try {
            controlThread.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        storageThread.close();
        taskQueue.forEach(Runnable::run);
    }

    @Override
    public void onDurable(long writeNumber, List<RaftMessage> messages) {
        submit(() -> {
            messages.forEach(message -> transport.send(message, node.log().membership()));
            process(node.onDurable(clock.nowMillis(), writeNumber));
        });
    }

    @Override
    public void onSnapshotDurable(Snapshot snapshot) {
        submit(() -> {
            snapshotInProgress = false;
            node.compact(snapshot);
        });
    }

    @Override
    public void onSnapshotFailed() {
        submit(() -> {
            snapshotInProgress = false;
            nextSnapshotMillis = clock.nowMillis() + SNAPSHOT_RETRY_INTERVAL_MILLIS;
        });
    }

    @Override
    public void onStorageFailed(RuntimeException cause) {
        submit(() -> fail(cause));
    }

    /** Runs an action on the control thread; an exception fails the future. */
    private void submitCall(CompletableFuture<?> future, Runnable action) {
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
            throw new WagtailcartException(ResultCode.SHUTTING_DOWN, "the member is shutting down");
        }
    }

    private void submit(Runnable task) {
        taskQueue.add(task);
    }

    private void receive(RaftMessage message) {
        submit(() -> {
            if (failure == null) {
                process(node.step(clock.nowMillis(), message));
            }
        });
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        nextTickMillis = clock.nowMillis();
        while (!closed) {
            try {
                Runnable first = taskQueue.poll(Math.max(0, nextTickMillis - clock.nowMillis()), TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    taskQueue.drainTo(batch, MAX_BATCH_TASKS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            batch.forEach(this::runTask);
            batch.clear();
            runTask(this::afterBatch);
        }
        pendingCalls.failAll(new WagtailcartException(ResultCode.LEADERSHIP_LOST, "the member is shutting down"));
        pendingCalls.failTransfers("the member is shutting down");
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
            process(node.tick(nowMillis));
            membershipManager.tick(nowMillis);
            transferIfDiskIsSlow(nowMillis);
        }
        pendingCalls.completeReads(node.appliedIndex());
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
            process(node.propose(clock.nowMillis(), wallClock.nowMillis(), batch));
        } catch (WagtailcartException e) {
            batch.forEach(proposal -> pendingCalls.failProposal(proposal.id(), e));
        }
    }

    private void flushReads() {
        if (readBatch.isEmpty()) {
            return;
        }
        List<Long> batch = readBatch;
        readBatch = new ArrayList<>();
        try {
            process(node.requestReadIndex(clock.nowMillis(), batch));
        } catch (WagtailcartException e) {
            batch.forEach(id -> pendingCalls.failRead(id, e));
        }
    }

    private void process(NodeOutput output) {
        if (failure != null || closed) {
            return;
        }
        output.events().stream()
                .filter(NodeEvent.Appended.class::isInstance)
                .forEach(event -> pendingCalls.onAppended((NodeEvent.Appended) event));
        if (output.write() != null || !output.messagesAfterWrite().isEmpty()) {
            storageThread.submit(new StorageThread.WriteJob(output.write(), output.messagesAfterWrite()));
        }
        output.messages().forEach(message -> transport.send(message, node.log().membership()));
        Snapshot restored = output.restoredSnapshot();
        if (restored != null) {
            stateMachine.restore(restored.data());
            stateTimeMillis = Math.max(stateTimeMillis, restored.timeMillis());
        }
        output.committedEntries().forEach(this::apply);
        output.events().forEach(this::handle);
    }

    private void apply(LogEntry entry) {
        stateTimeMillis = Math.max(stateTimeMillis, entry.timeMillis());
        switch (entry.kind()) {
            case NOOP -> pendingCalls.onApplied(entry, node.log().membershipAt(entry.index()), null);
            case MEMBERS -> applyMembership(entry);
            case COMMAND -> applyCommand(entry);
        }
    }

    private void applyMembership(LogEntry entry) {
        Membership members = Memberships.decode(entry.payload());
        LOG.log(Level.INFO, LogEvent.of("members-changed", "index", entry.index(), "members", members.members()));
        pendingCalls.onApplied(entry, members, null);
    }

    private void applyCommand(LogEntry entry) {
        try {
            pendingCalls.onApplied(entry, stateMachine.apply(entry.index(), stateTimeMillis, entry.payload()), null);
        } catch (WagtailcartException e) {
            pendingCalls.onApplied(entry, null, e);
        } catch (RuntimeException e) {
            // The command fails on every member in the same way, so stopping on the error would stop all of them.
            LOG.log(Level.ERROR, LogEvent.of("apply-failed", "index", entry.index(), "reason", e), e);
            pendingCalls.onApplied(
                    entry,
                    null,
                    new WagtailcartException(
                            ResultCode.INTERNAL_ERROR, "the state machine failed to apply the command: " + e, e));
        }
    }

    private void handle(NodeEvent event) {
        if (event instanceof NodeEvent.ReadConfirmed confirmed) {
            pendingCalls.onReadConfirmed(confirmed);
        } else if (event instanceof NodeEvent.LeadershipEnded ended) {
            pendingCalls.failAll(new WagtailcartException(ended.code(), ended.reason()));
            pendingCalls.completeTransfers();
        } else if (event instanceof NodeEvent.TransferFailed failed) {
            pendingCalls.failTransfers(failed.reason());
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
        if (snapshotInProgress || clock.nowMillis() < nextSnapshotMillis || !node.isSnapshotDue()) {
            return;
        }
        snapshotInProgress = true;
        Snapshot snapshot = node.buildSnapshot(stateTimeMillis, stateMachine.snapshot());
        long base = node.retainedBase(snapshot);
        NodeLog log = node.log();
        storageThread.submit(new StorageThread.SnapshotJob(
                snapshot, base, log.termAt(base).orElseThrow(), log.between(base + 1, log.lastIndex())));
    }

    /** Transfers leadership when the disk stalls: this leader cannot acknowledge anything then, another member can. */
    private void transferIfDiskIsSlow(long nowMillis) {
        if (status.role() == RaftStatus.Role.LEADER
                && storageThread.busyMillis(nowMillis) > SLOW_SYNC_MILLIS
                && nowMillis >= nextTransferMillis
                && Memberships.voters(status.membership()).size() > 1) {
            nextTransferMillis = nowMillis + TRANSFER_INTERVAL_MILLIS;
            LOG.log(Level.WARNING, LogEvent.of("disk-slow", "member", options.memberId()));
            try {
                process(node.transfer(nowMillis));
            } catch (WagtailcartException e) {
                LOG.log(Level.INFO, LogEvent.of("hand-over-refused", "reason", e.getMessage()));
            }
        }
    }

    private void bootstrap(List<Member> voters) {
        LOG.log(Level.INFO, LogEvent.of("group-founded", "members", voters));
        process(node.bootstrap(clock.nowMillis(), wallClock.nowMillis(), voters));
    }

    private void onJoinRequest(Exchange exchange, Object request) {
        submit(() -> {
            membershipManager.onJoinRequest(clock.nowMillis(), ((RaftMessageTypes.JoinRequest) request).member());
            List<Address> addresses = node.log().membership().members().stream()
                    .map(Member::address)
                    .toList();
            exchange.finish(new RaftMessageTypes.JoinReply(addresses));
        });
    }

    /** Runs the actions of the {@link MembershipManager} on this member. */
    private final class MembershipActions implements MembershipManager.Actions {
        @Override
        public void submit(Runnable task) {
            RaftLog.this.submit(task);
        }

        @Override
        public void bootstrap(List<Member> voters) {
            RaftLog.this.bootstrap(voters);
        }

        @Override
        public CompletableFuture<Object> proposeChange(MembershipChange change) {
            CompletableFuture<Object> future = new CompletableFuture<>();
            proposeMembershipChange(future, change);
            return future;
        }
    }

    private RaftMessageTypes.IdentityReply identity() {
        Member self = new Member(options.memberId(), node.self().incarnation(), options.address(), false);
        return new RaftMessageTypes.IdentityReply(self, node.isUninitialized(), initialMembers);
    }

    private void fail(RuntimeException cause) {
        WagtailcartException error = cause instanceof WagtailcartException known
                ? known
                : new WagtailcartException(ResultCode.INTERNAL_ERROR, "member stopped after an error: " + cause, cause);
        failure = new WagtailcartException(error.code(), RunState.NOT_RUN, String.valueOf(error.getMessage()));
        LOG.log(Level.ERROR, LogEvent.of("member-failed", "code", error.code().number(), "reason", cause), cause);
        pendingCalls.failAll(
                new WagtailcartException(error.code(), RunState.MAY_HAVE_RUN, String.valueOf(error.getMessage())));
        pendingCalls.failTransfers("the member has failed");
    }

    private void logOpened() {
        LOG.log(
                Level.INFO,
                LogEvent.of(
                        node.isUninitialized() ? "member-blank" : "member-opened",
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
