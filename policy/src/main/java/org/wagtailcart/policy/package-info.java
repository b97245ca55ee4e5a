/** Decisions under load: routing, admission, retries, power and roles. Pure code: time and state in, decisions out. */
@NullMarked
package org.wagtailcart.policy;

import org.jspecify.annotations.NullMarked;
