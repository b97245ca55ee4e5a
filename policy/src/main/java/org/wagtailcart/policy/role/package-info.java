/** Planning of role changes between prefill, decode and mixed. */
@NullMarked
package org.wagtailcart.policy.role;

import org.jspecify.annotations.NullMarked;
