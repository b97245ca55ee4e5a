/** The program wagtailcartd: wiring, logs, signals and the operator listener of a process. */
@NullMarked
package org.wagtailcart.daemon;

import org.jspecify.annotations.NullMarked;
