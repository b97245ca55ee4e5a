/** What a gateway needs to know of the header names and bodies that callers and upstreams use. */
@NullMarked
package org.wagtailcart.gateway.protocol;

import org.jspecify.annotations.NullMarked;
