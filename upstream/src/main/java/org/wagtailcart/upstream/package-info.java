/** Parts shared by the HTTP clients for upstreams, which ensure that no request is written twice. */
@NullMarked
package org.wagtailcart.upstream;

import org.jspecify.annotations.NullMarked;
