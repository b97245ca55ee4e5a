package org.wagtailcart.standin;

import org.jspecify.annotations.Nullable;

/** JSON body that injects a fault; absent fields take the values of {@link Fault#once}. */
record FaultBody(String kind, @Nullable Integer count, @Nullable Integer afterTokens, @Nullable Long delayMillis) {
    Fault toFault() {
        Fault standard = Fault.once(FaultKind.parse(kind));
        return new Fault(
                standard.kind(),
                count == null ? standard.count() : count,
                afterTokens == null ? standard.afterTokens() : afterTokens,
                delayMillis == null ? standard.delayMillis() : delayMillis);
    }
}
