/** Responses to callers. */
@NullMarked
package org.wagtailcart.entry.answer;

import org.jspecify.annotations.NullMarked;
