/** Clients of the external sources of upstream state: the host list and the engines' control API. */
@NullMarked
package org.wagtailcart.directory;

import org.jspecify.annotations.NullMarked;
