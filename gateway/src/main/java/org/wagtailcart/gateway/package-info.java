/** The gateway: takes requests by host and path and passes them to upstreams over HTTP, without a process in between. */
@NullMarked
package org.wagtailcart.gateway;

import org.jspecify.annotations.NullMarked;
