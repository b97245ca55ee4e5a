/** Calls that run at most once. */
@NullMarked
package org.wagtailcart.entry.keyed;

import org.jspecify.annotations.NullMarked;
