package org.wagtailcart.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Faults that are switched on. */
final class Faults {
    private final Map<FaultKind, Fault> pending = new EnumMap<>(FaultKind.class);

    /** Switches a fault on, or off with a count of 0. */
    synchronized void set(Fault fault) {
        if (fault.count() <= 0) {
            pending.remove(fault.kind());
        } else {
            pending.put(fault.kind(), fault);
        }
    }

    /** Returns the fault when it hits the current request, and counts the request. */
    synchronized Optional<Fault> take(FaultKind kind) {
        Fault fault = pending.get(kind);
        if (fault == null) {
            return Optional.empty();
        }
        set(new Fault(kind, fault.count() - 1, fault.afterTokens(), fault.delayMillis()));
        return Optional.of(fault);
    }
}
