package org.wagtailcart.daemon;

import org.wagtailcart.control.KeyStateMachine;
import org.wagtailcart.once.IdempotencyKeyRegistry;
import org.wagtailcart.once.LookupKey;

/** State machine of the control state that holds the registry of idempotency keys. */
final class KeyRegistryStateMachine implements KeyStateMachine {
    private final IdempotencyKeyRegistry registry;

    KeyRegistryStateMachine(IdempotencyKeyRegistry registry) {
        this.registry = registry;
    }

    @Override
    public Object apply(long index, long timeMillis, Object command) {
        return registry.apply(index, timeMillis, command);
    }

    @Override
    public byte[] snapshot() {
        return registry.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        registry.restore(snapshot);
    }

    @Override
    public Object lookup(Object query) {
        return registry.lookup((LookupKey) query);
    }
}
