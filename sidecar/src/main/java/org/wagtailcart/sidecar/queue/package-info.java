/** Concurrency limiter and request queue of an upstream. */
@NullMarked
package org.wagtailcart.sidecar.queue;

import org.jspecify.annotations.NullMarked;
