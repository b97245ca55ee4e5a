/** Utilities for the tests of several modules. */
@NullMarked
package org.wagtailcart.testing;

import org.jspecify.annotations.NullMarked;
