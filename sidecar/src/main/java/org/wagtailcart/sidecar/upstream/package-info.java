/** HTTP towards upstreams. */
@NullMarked
package org.wagtailcart.sidecar.upstream;

import org.jspecify.annotations.NullMarked;
