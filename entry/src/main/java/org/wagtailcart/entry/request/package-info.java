/** Parsing and classification of callers' requests. */
@NullMarked
package org.wagtailcart.entry.request;

import org.jspecify.annotations.NullMarked;
