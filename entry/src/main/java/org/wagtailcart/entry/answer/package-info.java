/** Responses to callers: delivery, errors and disconnect detection. */
@NullMarked
package org.wagtailcart.entry.answer;

import org.jspecify.annotations.NullMarked;
