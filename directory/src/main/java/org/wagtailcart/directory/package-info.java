/** What is known of the upstreams from outside: the host list and the engines' own reports. */
@NullMarked
package org.wagtailcart.directory;

import org.jspecify.annotations.NullMarked;
