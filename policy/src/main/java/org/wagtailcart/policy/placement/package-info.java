/** Where a request goes: the engine that reads its prompt, the one that generates, or a replica of a plain service. */
@NullMarked
package org.wagtailcart.policy.placement;

import org.jspecify.annotations.NullMarked;
