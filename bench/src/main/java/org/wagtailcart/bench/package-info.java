/** Placeholder. */
@NullMarked
package org.wagtailcart.bench;

import org.jspecify.annotations.NullMarked;
