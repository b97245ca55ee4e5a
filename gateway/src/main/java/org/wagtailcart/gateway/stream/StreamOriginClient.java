package org.wagtailcart.gateway.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.FindOrigin;
import org.wagtailcart.control.client.FoundOrigin;
import org.wagtailcart.control.client.OriginsRecorded;
import org.wagtailcart.control.client.RecordOrigins;
import org.wagtailcart.control.client.RecordedOrigin;
import org.wagtailcart.policy.stream.StreamOrigin;
import org.wagtailcart.policy.stream.StreamOrigins;

/**
 * Origins of the streams of this gateway, which it sends to all control members, and of those of other gateways, which it
 * asks the members for. Thread safe.
 */
public final class StreamOriginClient {
    /** Calls of one control member. */
    public interface Transport {
        /** Sends origins to a member; the future fails if no reply arrives within the timeout. */
        CompletableFuture<OriginsRecorded> record(Address member, RecordOrigins request, long timeoutMillis);

        /** Asks a member for an origin; the future fails if no reply arrives within the timeout. */
        CompletableFuture<FoundOrigin> find(Address member, FindOrigin request, long timeoutMillis);
    }

    private static final long RECORD_TIMEOUT_MILLIS = 500;
    /** Bounds the wait of a request before it is refused; members reply in a few milliseconds. */
    private static final long FIND_TIMEOUT_MILLIS = 200;
    /** Pause before origins are sent again that no member has received. */
    private static final long RETRY_MILLIS = 100;
    /** Origins in one message, which keeps it far below the limit of a frame. */
    private static final int MAX_PER_MESSAGE = 1_000;
    /** Origins that wait to be sent again; older ones are dropped, as while no control member answers for long. */
    private static final int MAX_PENDING = 20_000;
    /** Longer ids are not kept, since a caller cannot name them. */
    private static final int MAX_ID_CHARS = 256;
    /** Limit on the time for which an origin is kept, whatever deadline a caller states. */
    private static final long MAX_VALID_MILLIS = 600_000;
    /** Time for which an origin is kept beyond the deadline of its caller, whose last attempt may arrive late. */
    private static final long GRACE_MILLIS = 2_000;

    private record Pending(String requestId, StreamOrigin origin, long expiresAtMillis) {}

    private final String processId;
    private final Transport transport;
    private final Supplier<List<Address>> members;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final MillisClock clock;

    // Guarded by this.
    private final StreamOrigins origins = new StreamOrigins();
    private List<Pending> pending = new ArrayList<>();
    private boolean sendScheduled;

    /**
     * Creates a client without origins.
     *
     * @param members returns the peer addresses of the control members
     * @param executor sends the origins
     * @param timer runs short delayed tasks
     */
    public StreamOriginClient(
            String processId,
            Transport transport,
            Supplier<List<Address>> members,
            Executor executor,
            ScheduledExecutorService timer,
            MillisClock clock) {
        this.processId = processId;
        this.transport = transport;
        this.members = members;
        this.executor = executor;
        this.timer = timer;
        this.clock = clock;
    }

    /**
     * Records where a stream began. Does not wait until the control members know it.
     *
     * @param requestId id of the attempt that delivers the first event
     * @param deadlineMillis time until which its caller may resume the stream
     */
    public synchronized void record(String requestId, StreamOrigin origin, long deadlineMillis) {
        if (requestId.length() > MAX_ID_CHARS) {
            return;
        }
        long nowMillis = clock.nowMillis();
        long expiresAtMillis = Math.min(deadlineMillis, nowMillis + MAX_VALID_MILLIS) + GRACE_MILLIS;
        origins.record(requestId, origin, expiresAtMillis, nowMillis);
        pending.add(new Pending(requestId, origin, expiresAtMillis));
        scheduleSend(0);
    }

    private synchronized void scheduleSend(long delayMillis) {
        if (sendScheduled) {
            return;
        }
        sendScheduled = true;
        try {
            if (delayMillis == 0) {
                executor.execute(this::send);
            } else {
                var unused = timer.schedule(this::send, delayMillis, TimeUnit.MILLISECONDS);
            }
        } catch (RejectedExecutionException e) {
            // The process is stopping; the streams that it has begun end with it.
            pending.clear();
        }
    }

    private void send() {
        List<Pending> drained = drain();
        for (int from = 0; from < drained.size(); from += MAX_PER_MESSAGE) {
            sendToMembers(drained.subList(from, Math.min(drained.size(), from + MAX_PER_MESSAGE)));
        }
    }

    private void sendToMembers(List<Pending> sent) {
        long nowMillis = clock.nowMillis();
        RecordOrigins request = new RecordOrigins(
                processId,
                sent.stream()
                        .map(item -> new RecordedOrigin(
                                item.requestId(),
                                item.origin().service(),
                                item.origin().softwareVersion(),
                                item.expiresAtMillis() - nowMillis))
                        .toList());
        List<Address> receivers = members.get();
        AtomicInteger failures = new AtomicInteger();
        receivers.forEach(member -> {
            var unused = call(() -> transport.record(member, request, RECORD_TIMEOUT_MILLIS))
                    .whenComplete((reply, error) -> {
                        if (error != null && failures.incrementAndGet() == receivers.size()) {
                            sendAgain(sent);
                        }
                    });
        });
    }

    private synchronized List<Pending> drain() {
        sendScheduled = false;
        long nowMillis = clock.nowMillis();
        List<Pending> drained = pending.stream()
                .skip(Math.max(0, pending.size() - MAX_PENDING))
                .filter(item -> item.expiresAtMillis() > nowMillis)
                .toList();
        pending = new ArrayList<>();
        return drained;
    }

    private synchronized void sendAgain(List<Pending> unsent) {
        pending.addAll(unsent);
        scheduleSend(RETRY_MILLIS);
    }

    /**
     * Returns where a stream began. Waits for the control members if this gateway did not begin it.
     *
     * @param requestId id of the attempt that delivered the first event
     * @return empty if nobody knows it
     */
    public Optional<StreamOrigin> find(String requestId) {
        Optional<StreamOrigin> known = findOwn(requestId);
        return known.isPresent() ? known : askMembers(requestId);
    }

    private synchronized Optional<StreamOrigin> findOwn(String requestId) {
        return origins.find(requestId, clock.nowMillis());
    }

    private Optional<StreamOrigin> askMembers(String requestId) {
        List<Address> asked = members.get();
        Answers answers = new Answers(asked.size());
        asked.forEach(member -> {
            var unused = call(() -> transport.find(member, new FindOrigin(processId, requestId), FIND_TIMEOUT_MILLIS))
                    .whenComplete((reply, error) -> answers.add(reply));
        });
        try {
            return answers.result.get(FIND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }

    /** Calls a member; an exception fails the future, so that the other members are called too. */
    private static <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> transportCall) {
        try {
            return transportCall.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Answers of the members to one question. The first origin decides. A member that knows none proves nothing, since it
     * may have restarted or missed the message.
     */
    private static final class Answers {
        private final CompletableFuture<Optional<StreamOrigin>> result = new CompletableFuture<>();
        private final AtomicInteger total = new AtomicInteger();
        private final int members;

        Answers(int members) {
            this.members = members;
        }

        void add(@Nullable FoundOrigin reply) {
            if (reply != null && reply.known()) {
                result.complete(Optional.of(new StreamOrigin(reply.service(), reply.softwareVersion())));
            }
            if (total.incrementAndGet() == members) {
                result.complete(Optional.empty());
            }
        }
    }
}
