/** Handling of one request: attempts at upstreams, retries, deadlines and the relay of the response. */
@NullMarked
package org.wagtailcart.gateway.call;

import org.jspecify.annotations.NullMarked;
