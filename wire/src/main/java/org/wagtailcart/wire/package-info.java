/** Protocol between the system's processes: MessagePack frames over TCP, multiplexed exchanges and heartbeats. */
@NullMarked
package org.wagtailcart.wire;

import org.jspecify.annotations.NullMarked;
