/** Placeholder. */
@NullMarked
package org.wagtailcart.cli;

import org.jspecify.annotations.NullMarked;
