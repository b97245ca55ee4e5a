/** Counts of the requests that upstreams began to run for each workspace, and their reports for each time window. */
@NullMarked
package org.wagtailcart.usage;

import org.jspecify.annotations.NullMarked;
