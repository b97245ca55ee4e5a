/** Orders of the control leader for the number of replicas. */
@NullMarked
package org.wagtailcart.control.capacity;

import org.jspecify.annotations.NullMarked;
