/** Execution of retryable calls and of at-most-once calls. */
@NullMarked
package org.wagtailcart.entry.call;

import org.jspecify.annotations.NullMarked;
