/** Replicated state of the upstreams: sidecar epochs, lifecycle, and orders to engines with fencing tokens. */
@NullMarked
package org.wagtailcart.fleet;

import org.jspecify.annotations.NullMarked;
