/** Which upstreams there are, and what this gateway has in flight at each. */
@NullMarked
package org.wagtailcart.gateway.list;

import org.jspecify.annotations.NullMarked;
