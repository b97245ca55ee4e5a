/** Connections between the system's own processes: TCP frames with MessagePack, multiplexed exchanges, heartbeats. */
@NullMarked
package org.wagtailcart.wire;

import org.jspecify.annotations.NullMarked;
