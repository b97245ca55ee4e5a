/** Placement of requests: the engine that prefills a prompt, the one that decodes, or a replica of a plain service. */
@NullMarked
package org.wagtailcart.policy.placement;

import org.jspecify.annotations.NullMarked;
