package org.wagtailcart.policy.capacity;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Orders for one service in one failure domain: what was ordered, and what may be ordered next. A call without a
 * response may be carried out after newer ones, so that until then only the same number is ordered. Not thread safe.
 */
public final class DomainOrders {
    /** Time for which a call without a response may still be carried out; the same as for orders to engines. */
    private static final long UNANSWERED_MILLIS = 15_000;
    /** Shortest time until an order is repeated; the host list is read every 0.7 s and shows an order later. */
    private static final long MIN_SHOWN_MILLIS = 3_000;
    /** Time from a decision to its call after which the demand that it is based on is outdated. */
    private static final long ORDER_VALID_MILLIS = 1_000;

    private long shownMillis;
    private OptionalInt ordered = OptionalInt.empty();
    private long shownByMillis = Long.MIN_VALUE;
    private long changeFromMillis = Long.MIN_VALUE;
    private long nextCallMillis = Long.MIN_VALUE;
    private boolean calling;
    private boolean unanswered;
    private int failures;

    /** Creates the orders of a domain in which nothing was ordered. */
    public DomainOrders(ReplicaLimits limits) {
        this.shownMillis = shownMillis(limits);
    }

    /** Replaces the limits. */
    public void limits(ReplicaLimits limits) {
        shownMillis = shownMillis(limits);
    }

    private static long shownMillis(ReplicaLimits limits) {
        // The order may be executed late, and the replica then needs its boot time.
        return Math.max(MIN_SHOWN_MILLIS, 2 * limits.bootMillis());
    }

    /** Returns the order to send now, if any. */
    public Optional<ReplicaOrder> due(int planned, int listed, long nowMillis) {
        if (ordered.equals(OptionalInt.of(listed))) {
            // The order is done; if the list differs later, replicas were lost or an old call was carried out.
            shownByMillis = Math.min(shownByMillis, nowMillis);
        }
        if (calling || nowMillis < nextCallMillis) {
            return Optional.empty();
        }
        int replicas = nowMillis < changeFromMillis ? ordered.orElse(planned) : planned;
        return reason(replicas, listed, nowMillis)
                .map(reason -> new ReplicaOrder(replicas, reason, nowMillis + ORDER_VALID_MILLIS));
    }

    private Optional<OrderReason> reason(int replicas, int listed, long nowMillis) {
        boolean shown = listed == replicas && nowMillis >= shownByMillis;
        if (ordered.orElse(listed) != replicas) {
            return Optional.of(replicas > ordered.orElse(listed) ? OrderReason.MORE_DEMAND : OrderReason.LESS_DEMAND);
        }
        if (unanswered && !shown) {
            return Optional.of(OrderReason.UNANSWERED);
        }
        return listed != replicas && nowMillis >= shownByMillis ? Optional.of(OrderReason.NOT_SHOWN) : Optional.empty();
    }

    /** Records that a call has begun; no other is due until its result is recorded. */
    public void begin() {
        calling = true;
    }

    /** Records the result of the call. */
    public void end(ReplicaOrder order, OrderResult result, long nowMillis) {
        calling = false;
        failures = result == OrderResult.ACCEPTED ? 0 : failures + 1;
        nextCallMillis = nowMillis + result.delayMillis(failures);
        if (result.mayHaveRun()) {
            ordered = OptionalInt.of(order.replicas());
            shownByMillis = nowMillis + shownMillis;
            unanswered = result == OrderResult.UNKNOWN;
            changeFromMillis = unanswered ? nowMillis + UNANSWERED_MILLIS : changeFromMillis;
        }
    }

    /** Returns the listed replicas without those that an order is about to remove. */
    public int serving(int listed, long nowMillis) {
        return nowMillis < shownByMillis ? Math.min(listed, ordered.orElse(listed)) : listed;
    }

    /** Returns the replicas that were ordered and are not listed yet. */
    public int booting(int listed, long nowMillis) {
        return nowMillis < shownByMillis ? Math.max(0, ordered.orElse(listed) - listed) : 0;
    }

    /** Returns the number that was ordered last and is or may be carried out, empty if there is none. */
    public OptionalInt ordered() {
        return ordered;
    }

    /** Returns whether the host list should show the last order and does not. */
    public boolean overdue(int listed, long nowMillis) {
        return ordered.orElse(listed) != listed && nowMillis >= shownByMillis;
    }
}
