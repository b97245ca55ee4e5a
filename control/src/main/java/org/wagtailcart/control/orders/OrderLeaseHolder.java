package org.wagtailcart.control.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.MillisClock;

/**
 * The order lease as seen by one member. Each call that only one member may make requires the lease, and a confirmation
 * of leadership immediately before. A new holder waits until the previous one can no longer make calls. Thread safe.
 */
public final class OrderLeaseHolder {
    private static final Logger LOG = System.getLogger(OrderLeaseHolder.class.getName());
    private static final long CONFIRM_TIMEOUT_MILLIS = 500;
    /** Longest time between the leadership confirmation of a holder and the arrival of its call. */
    private static final long MAX_CALL_DELAY_MILLIS = 1_500;
    /** Time after the start of the confirmation by which a call must be written; the rest is for its way. */
    private static final long SEND_LIMIT_MILLIS = 1_000;

    /**
     * The right to make one call.
     *
     * @param fencingToken token to send with the call
     * @param sendByMillis monotonic time after which the call must not be sent
     */
    public record Permit(long fencingToken, long sendByMillis) {}

    /**
     * A lease that was granted to this member.
     *
     * @param fencingToken token of the grant, 0 for none
     * @param callsAllowedFromMillis monotonic time from which no other member can make calls
     */
    private record Grant(long fencingToken, long callsAllowedFromMillis) {
        static final Grant NONE = new Grant(0, Long.MAX_VALUE);
    }

    private final String memberId;
    private final Leadership leadership;
    private final long leaseMillis;
    private final MillisClock clock;
    private volatile Grant grant = Grant.NONE;
    /** Time limit of the last permit. Guarded by this. */
    private long lastSendByMillis = Long.MIN_VALUE / 4;

    /**
     * Creates a holder without the lease.
     *
     * @param leaseMillis minimum time between the calls of two holders
     */
    public OrderLeaseHolder(String memberId, Leadership leadership, long leaseMillis, MillisClock clock) {
        this.memberId = memberId;
        this.leadership = leadership;
        this.leaseMillis = leaseMillis;
        this.clock = clock;
    }

    /** Returns whether this member is the leader; if it is not, it no longer uses its lease. */
    public synchronized boolean checkLeader() {
        boolean leader = leadership.isLeader();
        if (!leader) {
            grant = Grant.NONE;
        }
        return leader;
    }

    /** Acquires the lease before any call is due, because a new holder must wait out the calls of the previous one. */
    public synchronized void ensure() {
        OrderLease lease = leadership.orderLease();
        if (!holds(lease)) {
            acquire(lease);
        }
    }

    /** Returns whether this member holds the lease and no other member can still make calls. */
    public boolean mayCall() {
        return holds(leadership.orderLease()) && clock.nowMillis() >= grant.callsAllowedFromMillis();
    }

    /**
     * Confirms with a quorum that this member may make a call now. Blocks for a short time, or while another duty
     * acquires the lease.
     */
    public Optional<Permit> confirm() {
        long startMillis = clock.nowMillis();
        Grant used = grant;
        boolean confirmed =
                await(leadership.confirmLeadership(), CONFIRM_TIMEOUT_MILLIS).isPresent();
        return confirmed ? permit(used, startMillis) : Optional.empty();
    }

    private synchronized Optional<Permit> permit(Grant used, long startMillis) {
        if (clock.nowMillis() > startMillis + CONFIRM_TIMEOUT_MILLIS
                || used.fencingToken() == 0
                || used.fencingToken() != grant.fencingToken()
                || clock.nowMillis() < used.callsAllowedFromMillis()
                || leadership.orderLease().fencingToken() != used.fencingToken()) {
            return Optional.empty();
        }
        lastSendByMillis = Math.max(lastSendByMillis, startMillis + SEND_LIMIT_MILLIS);
        return Optional.of(new Permit(used.fencingToken(), startMillis + SEND_LIMIT_MILLIS));
    }

    /** Gives up a lease whose token a recipient refused. */
    public synchronized void lose(long fencingToken) {
        if (grant.fencingToken() == fencingToken) {
            grant = Grant.NONE;
        }
    }

    /** Returns the fencing token of the lease that this member holds, 0 for none. */
    public long fencingToken() {
        return grant.fencingToken();
    }

    private boolean holds(OrderLease lease) {
        long token = grant.fencingToken();
        return token != 0 && lease.holder().equals(memberId) && token == lease.fencingToken();
    }

    private void acquire(OrderLease before) {
        Optional<OrderLease> acquired = await(leadership.acquireOrderLease(memberId), leaseMillis);
        acquired.ifPresent(lease -> {
            // The reply to an earlier acquisition may have been lost, so this member may already be the holder. Only
            // the last holder other than this member shows whether there is anyone to wait for. It is taken from the
            // granted lease, because a new leader may not have applied the grants of its predecessors yet.
            boolean first = lease.previousHolder().isEmpty();
            long othersUntilMillis = clock.nowMillis() + (first ? 0 : leaseMillis + MAX_CALL_DELAY_MILLIS);
            // A call of another duty with the former token of this member must not arrive after one with the new token.
            long ownUntilMillis = lastSendByMillis + MAX_CALL_DELAY_MILLIS - SEND_LIMIT_MILLIS;
            grant = new Grant(lease.fencingToken(), Math.max(othersUntilMillis, ownUntilMillis));
            LOG.log(
                    Level.INFO,
                    LogEvent.of(
                            "order-lease-taken",
                            "holder",
                            memberId,
                            "token",
                            lease.fencingToken(),
                            "before",
                            before.holder()));
        });
    }

    private static <T> Optional<T> await(CompletableFuture<T> future, long timeoutMillis) {
        return BoundedWait.await(future, timeoutMillis, LOG, "authority-not-confirmed");
    }
}
