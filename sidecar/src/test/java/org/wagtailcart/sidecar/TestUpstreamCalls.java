package org.wagtailcart.sidecar;

import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.sidecar.upstream.ResponseListener;

/** Upstreams and listeners for tests that call a server directly. */
final class TestUpstreamCalls {
    /** Listener for responses whose content does not matter. */
    static final ResponseListener IGNORE = new ResponseListener() {
        @Override
        public void onStarted(int status, List<String> headers) {}

        @Override
        public void onChunk(byte[] bytes, int events) {}
    };

    private TestUpstreamCalls() {}

    /** Returns an active upstream without load. */
    static UpstreamView upstream(String id, UpstreamKind kind, Address address) {
        return new UpstreamView(
                id,
                1,
                kind,
                address,
                "s",
                address,
                1,
                "d1",
                "",
                Lifecycle.ACTIVE,
                new EngineTarget(EngineRole.MIXED, "m", "", "1"),
                0,
                OrderState.NONE,
                0,
                true,
                4);
    }
}
