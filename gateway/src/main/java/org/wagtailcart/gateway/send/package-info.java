/** HTTP client for upstreams that sends each request at most once. */
@NullMarked
package org.wagtailcart.gateway.send;

import org.jspecify.annotations.NullMarked;
