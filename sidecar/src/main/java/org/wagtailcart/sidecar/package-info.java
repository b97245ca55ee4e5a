/** Sidecar role: the proxy between entries and the upstreams on its host. */
@NullMarked
package org.wagtailcart.sidecar;

import org.jspecify.annotations.NullMarked;
