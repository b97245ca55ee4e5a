/** Messages between entries and sidecars. */
@NullMarked
package org.wagtailcart.sidecar.message;

import org.jspecify.annotations.NullMarked;
