/** Choice of the upstreams that serve a request, from the load of each upstream. */
@NullMarked
package org.wagtailcart.policy.routing;

import org.jspecify.annotations.NullMarked;
