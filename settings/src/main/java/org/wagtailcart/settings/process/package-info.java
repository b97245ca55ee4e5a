/** Settings of one process, parsed from its INI file at start. */
@NullMarked
package org.wagtailcart.settings.process;

import org.jspecify.annotations.NullMarked;
