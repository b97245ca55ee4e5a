/** State machine that carries out configuration orders at engines. */
@NullMarked
package org.wagtailcart.sidecar.order;

import org.jspecify.annotations.NullMarked;
