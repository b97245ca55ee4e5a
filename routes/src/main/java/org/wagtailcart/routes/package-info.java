/** The routing table: which service handles a request, and with which timeouts, targets and limits. */
@NullMarked
package org.wagtailcart.routes;

import org.jspecify.annotations.NullMarked;
