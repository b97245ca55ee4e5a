/** Replicated log and its use: consensus, membership and the interface to replicated state. */
@NullMarked
package org.wagtailcart.coordination;

import org.jspecify.annotations.NullMarked;
