/** Orders to engines: the order lease and the controller that plans engine roles. */
@NullMarked
package org.wagtailcart.control.orders;

import org.jspecify.annotations.NullMarked;
