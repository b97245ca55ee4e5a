/** Estimation of the shared power limit, and grants for engines to run above their soft limit. */
@NullMarked
package org.wagtailcart.policy.power;

import org.jspecify.annotations.NullMarked;
