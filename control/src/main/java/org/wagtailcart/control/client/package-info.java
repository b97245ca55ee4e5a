/** Use of the control group by other processes. */
@NullMarked
package org.wagtailcart.control.client;

import org.jspecify.annotations.NullMarked;
