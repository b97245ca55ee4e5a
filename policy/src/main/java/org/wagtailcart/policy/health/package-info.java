/** Health of upstreams and ejection of failing ones from routing. */
@NullMarked
package org.wagtailcart.policy.health;

import org.jspecify.annotations.NullMarked;
