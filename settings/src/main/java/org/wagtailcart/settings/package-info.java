/** Settings: the INI file of a process and the operators' tree with its revisions. */
@NullMarked
package org.wagtailcart.settings;

import org.jspecify.annotations.NullMarked;
