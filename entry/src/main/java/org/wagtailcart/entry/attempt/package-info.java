/** Attempts at sidecars and the validation of their responses. */
@NullMarked
package org.wagtailcart.entry.attempt;

import org.jspecify.annotations.NullMarked;
