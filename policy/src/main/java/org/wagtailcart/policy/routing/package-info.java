/** Choice of the upstream for a request. */
@NullMarked
package org.wagtailcart.policy.routing;

import org.jspecify.annotations.NullMarked;
