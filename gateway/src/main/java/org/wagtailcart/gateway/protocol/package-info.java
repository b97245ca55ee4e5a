/** Codec interface for the headers and bodies that a gateway exchanges with callers and upstreams. */
@NullMarked
package org.wagtailcart.gateway.protocol;

import org.jspecify.annotations.NullMarked;
