/** HTTP clients for upstreams and engines. */
@NullMarked
package org.wagtailcart.sidecar.upstream;

import org.jspecify.annotations.NullMarked;
