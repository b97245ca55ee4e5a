/** Waiting, limits and routing of requests. */
@NullMarked
package org.wagtailcart.entry.admission;

import org.jspecify.annotations.NullMarked;
