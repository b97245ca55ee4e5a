/** HTTP API for operators, with JSON bodies. */
@NullMarked
package org.wagtailcart.control.http;

import org.jspecify.annotations.NullMarked;
