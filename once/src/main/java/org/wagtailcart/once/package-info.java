/** Idempotency keys: requests that run at most once. */
@NullMarked
package org.wagtailcart.once;

import org.jspecify.annotations.NullMarked;
