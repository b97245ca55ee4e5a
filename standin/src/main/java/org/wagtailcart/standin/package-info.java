/**
 * Stand-in servers with fault injection for engines, plain services, the weight store, the host list and the power feed, a
 * TCP relay and a load generator. For tests and measurements only; not shipped.
 */
@NullMarked
package org.wagtailcart.standin;

import org.jspecify.annotations.NullMarked;
