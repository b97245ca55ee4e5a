/** Placeholder. */
@NullMarked
package org.wagtailcart.entry;

import org.jspecify.annotations.NullMarked;
