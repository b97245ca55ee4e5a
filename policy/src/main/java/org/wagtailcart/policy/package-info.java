/**
 * Policies for routing, admission, retries, power and engine roles. They do no I/O and read no clock: callers pass the
 * time and the observed state.
 */
@NullMarked
package org.wagtailcart.policy;

import org.jspecify.annotations.NullMarked;
