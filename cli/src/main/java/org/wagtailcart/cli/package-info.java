/** Operators' command line: a client of the operator interface of the control members, and checks of local files. */
@NullMarked
package org.wagtailcart.cli;

import org.jspecify.annotations.NullMarked;
