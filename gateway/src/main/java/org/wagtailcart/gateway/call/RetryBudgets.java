package org.wagtailcart.gateway.call;

import java.util.HashMap;
import java.util.Map;
import org.wagtailcart.policy.retry.SharedRetryBudget;

/** The retry budget of each service. Thread safe. */
public final class RetryBudgets {
    private final double ratio;
    private final int reserve;
    private final long windowMillis;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();

    /** Creates budgets that all gateways share. */
    public RetryBudgets(double ratio, int reserve, long windowMillis) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.windowMillis = windowMillis;
    }

    /** Notes a request of a caller. */
    public synchronized void onRequest(String service, long nowMillis) {
        of(service).onRequest(nowMillis);
    }

    synchronized boolean tryAcquire(String service, int gateways, long nowMillis) {
        return of(service).tryAcquire(gateways, nowMillis);
    }

    /** Returns the least number of retries left at any service. */
    public synchronized int minRemaining(int gateways, long nowMillis) {
        return budgets.values().stream()
                .mapToInt(budget -> budget.remaining(gateways, nowMillis))
                .min()
                .orElse(0);
    }

    private SharedRetryBudget of(String service) {
        return budgets.computeIfAbsent(service, name -> new SharedRetryBudget(ratio, reserve, windowMillis));
    }
}
