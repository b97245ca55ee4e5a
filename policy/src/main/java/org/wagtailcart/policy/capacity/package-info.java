/** Number of replicas to order for a service in each failure domain. */
@NullMarked
package org.wagtailcart.policy.capacity;

import org.jspecify.annotations.NullMarked;
