/** Orders to engines. */
@NullMarked
package org.wagtailcart.sidecar.order;

import org.jspecify.annotations.NullMarked;
