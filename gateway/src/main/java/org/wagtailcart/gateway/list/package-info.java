/** Registry of the upstreams, their health and the in-flight requests of this gateway at each. */
@NullMarked
package org.wagtailcart.gateway.list;

import org.jspecify.annotations.NullMarked;
