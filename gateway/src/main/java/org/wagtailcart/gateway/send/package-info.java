/** Requests to upstreams over HTTP, each sent at most once. */
@NullMarked
package org.wagtailcart.gateway.send;

import org.jspecify.annotations.NullMarked;
