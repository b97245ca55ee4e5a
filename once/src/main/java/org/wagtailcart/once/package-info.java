/** Replicated registry of idempotency keys, by which non-idempotent requests run at most once. */
@NullMarked
package org.wagtailcart.once;

import org.jspecify.annotations.NullMarked;
