/** Types shared by all modules: result codes, exceptions, priorities, roles, lifecycle states and log events. */
@NullMarked
package org.wagtailcart.common;

import org.jspecify.annotations.NullMarked;
