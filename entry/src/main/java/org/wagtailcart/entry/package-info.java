/** HTTP entry for callers: request handling, admission control and forwarding to sidecars. */
@NullMarked
package org.wagtailcart.entry;

import org.jspecify.annotations.NullMarked;
