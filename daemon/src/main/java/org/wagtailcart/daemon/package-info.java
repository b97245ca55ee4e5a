/** Placeholder. */
@NullMarked
package org.wagtailcart.daemon;

import org.jspecify.annotations.NullMarked;
