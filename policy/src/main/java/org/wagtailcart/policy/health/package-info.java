/** Taking failing upstreams out of routing. */
@NullMarked
package org.wagtailcart.policy.health;

import org.jspecify.annotations.NullMarked;
