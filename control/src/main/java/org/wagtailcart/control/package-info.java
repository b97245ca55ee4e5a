/** Control group member: replicated state machine, sync with processes, leader tasks and operator interface. */
@NullMarked
package org.wagtailcart.control;

import org.jspecify.annotations.NullMarked;
