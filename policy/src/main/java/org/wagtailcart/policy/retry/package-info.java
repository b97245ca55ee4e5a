/** Budget for repeated attempts. */
@NullMarked
package org.wagtailcart.policy.retry;

import org.jspecify.annotations.NullMarked;
