/** Calls that may be repeated. */
@NullMarked
package org.wagtailcart.entry.call;

import org.jspecify.annotations.NullMarked;
