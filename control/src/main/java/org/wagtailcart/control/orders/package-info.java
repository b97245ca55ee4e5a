/** Orders to engines: who may give them, and the planning of their roles. */
@NullMarked
package org.wagtailcart.control.orders;

import org.jspecify.annotations.NullMarked;
