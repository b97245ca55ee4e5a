/** Estimate of the shared power limit and grants to run hard. */
@NullMarked
package org.wagtailcart.policy.power;

import org.jspecify.annotations.NullMarked;
