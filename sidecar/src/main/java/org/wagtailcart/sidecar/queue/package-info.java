/** Limit and queue of one upstream. */
@NullMarked
package org.wagtailcart.sidecar.queue;

import org.jspecify.annotations.NullMarked;
