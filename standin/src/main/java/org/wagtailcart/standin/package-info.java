/** Stand-ins for engine, plain service, weight store, host list and power feed, and a load generator; not shipped. */
@NullMarked
package org.wagtailcart.standin;

import org.jspecify.annotations.NullMarked;
