/** The program wagtailcartd: dependency injection, logging, signals, and the metrics and operator listeners. */
@NullMarked
package org.wagtailcart.daemon;

import org.jspecify.annotations.NullMarked;
