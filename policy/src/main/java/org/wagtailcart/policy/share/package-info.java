/** Shares of workspaces in the capacity of a contended service. */
@NullMarked
package org.wagtailcart.policy.share;

import org.jspecify.annotations.NullMarked;
