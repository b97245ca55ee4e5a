/** HTTP gateway that routes requests by host name and path and sends them directly to the selected upstream. */
@NullMarked
package org.wagtailcart.gateway;

import org.jspecify.annotations.NullMarked;
