/** Which events of a stream reach its caller, and which upstreams may continue a stream. */
@NullMarked
package org.wagtailcart.policy.stream;

import org.jspecify.annotations.NullMarked;
