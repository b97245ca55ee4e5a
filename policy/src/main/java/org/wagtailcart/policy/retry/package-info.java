/** Budgets that limit retries. */
@NullMarked
package org.wagtailcart.policy.retry;

import org.jspecify.annotations.NullMarked;
