package org.wagtailcart.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Fault injector: the faults to inject into the next requests, at most one of each kind. */
final class FaultInjector {
    private final Map<FaultKind, Fault> pending = new EnumMap<>(FaultKind.class);

    /** Sets the fault of its kind; a count of 0 removes it. */
    synchronized void set(Fault fault) {
        if (fault.count() <= 0) {
            pending.remove(fault.kind());
        } else {
            pending.put(fault.kind(), fault);
        }
    }

    /** Returns the fault to inject into the current request, if any, and decrements its count. */
    synchronized Optional<Fault> consume(FaultKind kind) {
        Fault fault = pending.get(kind);
        if (fault == null) {
            return Optional.empty();
        }
        set(new Fault(kind, fault.count() - 1, fault.afterTokens(), fault.delayMillis()));
        return Optional.of(fault);
    }
}
