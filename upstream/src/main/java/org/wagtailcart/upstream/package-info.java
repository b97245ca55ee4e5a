/** What every HTTP client towards upstreams needs, so that no request is written twice. */
@NullMarked
package org.wagtailcart.upstream;

import org.jspecify.annotations.NullMarked;
