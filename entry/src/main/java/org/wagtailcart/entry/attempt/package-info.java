/** One attempt at a sidecar and the checks of its answer. */
@NullMarked
package org.wagtailcart.entry.attempt;

import org.jspecify.annotations.NullMarked;
