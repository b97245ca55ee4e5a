/** The process beside an upstream. */
@NullMarked
package org.wagtailcart.sidecar;

import org.jspecify.annotations.NullMarked;
