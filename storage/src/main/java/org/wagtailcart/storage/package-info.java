/** Placeholder. */
@NullMarked
package org.wagtailcart.storage;

import org.jspecify.annotations.NullMarked;
