/** Attribution of engine crashes to the prompt segments that cause them, and the quarantine of such segments. */
@NullMarked
package org.wagtailcart.policy.quarantine;

import org.jspecify.annotations.NullMarked;
