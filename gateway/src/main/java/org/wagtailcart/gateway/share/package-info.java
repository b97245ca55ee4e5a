/** Limits on the workspaces of a contended service, as this gateway applies them. */
@NullMarked
package org.wagtailcart.gateway.share;

import org.jspecify.annotations.NullMarked;
