/** One request from its arrival to its end. */
@NullMarked
package org.wagtailcart.gateway.call;

import org.jspecify.annotations.NullMarked;
