/** Reports that a gateway exchanges with the control group at each poll. */
@NullMarked
package org.wagtailcart.gateway.report;

import org.jspecify.annotations.NullMarked;
