/** Bounded admission queues of pools, which reject requests that cannot meet their deadline. */
@NullMarked
package org.wagtailcart.policy.admission;

import org.jspecify.annotations.NullMarked;
