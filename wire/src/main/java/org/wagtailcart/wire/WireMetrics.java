package org.wagtailcart.wire;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the peer connections of a process. */
record WireMetrics(Meter framesIn, Meter framesOut, Meter rejectedFrames, Meter silentConnections) {
    static WireMetrics register(MetricRegistry registry) {
        return new WireMetrics(
                registry.meter("wire.frames-in"),
                registry.meter("wire.frames-out"),
                registry.meter("wire.frames-rejected"),
                registry.meter("wire.connections-silent"));
    }
}
