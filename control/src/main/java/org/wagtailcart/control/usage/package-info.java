/** Usage reports of the control leader to the platform. */
@NullMarked
package org.wagtailcart.control.usage;

import org.jspecify.annotations.NullMarked;
