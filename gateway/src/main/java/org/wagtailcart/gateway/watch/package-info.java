/** Long-polling client that keeps the routing table of a gateway up to date. */
@NullMarked
package org.wagtailcart.gateway.watch;

import org.jspecify.annotations.NullMarked;
