/** Detection of engines that crash under a request, and the refusal of requests that make engines crash. */
@NullMarked
package org.wagtailcart.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
