/** Nouns shared by all modules: result codes, errors, priorities, roles and lifecycle states. */
@NullMarked
package org.wagtailcart.common;

import org.jspecify.annotations.NullMarked;
