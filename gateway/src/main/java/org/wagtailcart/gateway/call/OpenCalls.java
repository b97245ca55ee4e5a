package org.wagtailcart.gateway.call;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Calls of a gateway that have not ended, and the time by which all of them must end because the process is killed
 * soon after. Thread safe.
 */
public final class OpenCalls {
    private final Set<GatewayCall> calls = ConcurrentHashMap.newKeySet();
    private volatile long endByMillis = Long.MAX_VALUE;

    /** Returns the monotonic time by which every call must end. */
    long endByMillis() {
        return endByMillis;
    }

    /** Makes all calls, also later ones, end by a monotonic time. */
    public void endBy(long deadlineMillis) {
        endByMillis = deadlineMillis;
        calls.forEach(GatewayCall::scheduleDeadline);
    }

    /** Returns the number of calls of a workspace to a service whose response has, or has not, begun. */
    public int count(String service, String workspace, boolean begun) {
        return (int) calls.stream()
                .filter(call -> call.request().workspace().equals(workspace))
                .filter(call -> call.request().service().equals(service))
                .filter(call -> call.isResponseStarted() == begun)
                .count();
    }

    void add(GatewayCall call) {
        calls.add(call);
    }

    void remove(GatewayCall call) {
        calls.remove(call);
    }
}
