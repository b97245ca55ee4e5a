/** Control hosts: composition of the replicated state, sync with processes, operator interface. */
@NullMarked
package org.wagtailcart.control;

import org.jspecify.annotations.NullMarked;
