/** State machine of calls that run at most once, with its actions and events. */
@NullMarked
package org.wagtailcart.entry.keyed;

import org.jspecify.annotations.NullMarked;
