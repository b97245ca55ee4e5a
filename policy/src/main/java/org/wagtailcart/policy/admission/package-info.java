/** Bounded queues in front of pools, with early refusal. */
@NullMarked
package org.wagtailcart.policy.admission;

import org.jspecify.annotations.NullMarked;
