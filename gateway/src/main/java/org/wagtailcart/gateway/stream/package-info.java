/** What a gateway knows of the origins of streams that callers resume. */
@NullMarked
package org.wagtailcart.gateway.stream;

import org.jspecify.annotations.NullMarked;
