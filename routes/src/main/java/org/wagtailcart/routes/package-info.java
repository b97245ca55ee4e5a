/** The routing table: which service answers which request, and under which rules. */
@NullMarked
package org.wagtailcart.routes;

import org.jspecify.annotations.NullMarked;
