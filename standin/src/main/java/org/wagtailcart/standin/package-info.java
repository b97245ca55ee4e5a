/** Placeholder. */
@NullMarked
package org.wagtailcart.standin;

import org.jspecify.annotations.NullMarked;
