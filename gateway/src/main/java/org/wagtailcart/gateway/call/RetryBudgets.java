package org.wagtailcart.gateway.call;

import java.util.HashMap;
import java.util.Map;
import org.wagtailcart.policy.retry.SharedRetryBudget;

/** Retry budgets by service, shared by all gateways. Thread safe. */
public final class RetryBudgets {
    private final double ratio;
    private final int reserve;
    private final long windowMillis;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();

    /** Creates empty budgets; the limits apply to the sum of all gateways. */
    public RetryBudgets(double ratio, int reserve, long windowMillis) {
        this.ratio = ratio;
        this.reserve = reserve;
        this.windowMillis = windowMillis;
    }

    /** Records a request of a caller, which raises the budget of the service. */
    public synchronized void onRequest(String service, long nowMillis) {
        of(service).onRequest(nowMillis);
    }

    synchronized boolean tryAcquire(String service, int gateways, long nowMillis) {
        return of(service).tryAcquire(gateways, nowMillis);
    }

    /** Returns the lowest number of remaining retries of any service, 0 if there was no request. */
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
