package org.wagtailcart.standin;

import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;

/** JSON body of an order that changes an engine's configuration. */
record OrderBody(long fencingToken, String role, String model, String adapter, String version) {
    EngineTarget target() {
        return new EngineTarget(EngineRole.parse(role), model, adapter, version);
    }
}
